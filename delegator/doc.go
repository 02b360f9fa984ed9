// Package delegator divides the reading of a source among the nodes of the fleet: as many nodes
// read it as its rates allow, so that a node that reaches it needs no other one to hear of a
// change, and they notify the rest. It does no I/O; nodes decide alike from their own
// membership tables.
package delegator
