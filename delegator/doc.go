// Package delegator divides the reading of a source among the nodes of the fleet: a few
// nodes read it and notify the others, so that the calls to the source do not grow with
// the fleet. It does no I/O; all nodes decide alike from their own membership tables.
package delegator
