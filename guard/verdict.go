package guard

import "cowsliptally.example/cowsliptally/fleet"

// Verdict is the answer to a request for a key.
type Verdict struct {
	Granted bool
	// Reason is ReasonDuplicate when the key was granted before, ReasonGuard when
	// this guard cannot know whether it was, and empty when the key is granted.
	Reason fleet.Reason
}
