package deduplicator

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// member is a node that was a member within the window and the margin.
type member struct {
	node fleet.NodeID
	hash uint64
	// last is the last time that the node was a member.
	last time.Duration
}
