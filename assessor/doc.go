// Package assessor summarises the state of a fleet and lists the guarantees at risk.
// It does no I/O.
package assessor
