package explainer

import "cowsliptally.example/cowsliptally/fleet"

// Source is the response of one node.
type Source struct {
	Node string
	// Events are in the order of the node's journal.
	Events []fleet.Event
	// Failure is the reason why the node did not answer; empty if it did.
	Failure string
}
