package guard

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// sighting is a node that was a member within the window.
type sighting struct {
	node fleet.NodeID
	hash uint64
	// last is the last time that the node was a member.
	last time.Duration
}
