// Package adopter holds the newest configuration of a source outside the fleet. It
// follows the source, fetches newer documents from other nodes when they have one or
// the source is unreachable, and never returns to an older revision.
package adopter
