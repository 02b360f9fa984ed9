package deduplicator

import "cowsliptally.example/cowsliptally/fleet"

// Decision is the decision on a request for a key.
type Decision struct {
	Granted bool
	// Reason is ReasonDuplicate when the key was granted before, ReasonDeduplicator when
	// this node cannot determine whether it was, and empty when the key is granted.
	Reason fleet.Reason
}
