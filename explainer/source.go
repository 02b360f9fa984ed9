package explainer

import "cowsliptally.example/cowsliptally/fleet"

// Source is what one node answered.
type Source struct {
	Node string
	// Events are in the order of the node's journal.
	Events []fleet.Event
	// Failure says why the node did not answer, or is empty.
	Failure string
}
