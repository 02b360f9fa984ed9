// Package adopter holds the newest configuration of a source outside the fleet. It
// follows the source, takes newer documents from other nodes when the source cannot
// be reached, and never goes back to an older revision.
package adopter
