// Package assessor sums up a fleet's state and says which promises are at risk.
// It does no I/O.
package assessor
