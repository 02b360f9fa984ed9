package prober

import (
	"math"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const minSuspicionTime = 2 * time.Second

// suspicions holds the nodes that this node's own probes made suspect, with the deadline
// of the final check of each.
type suspicions map[fleet.NodeID]suspicion

type suspicion struct {
	incarnation uint64
	deadline    time.Time
}

// suspicionTime returns how long a node has to refute a suspicion, in a fleet of the given size.
func suspicionTime(nodes int, own awareness) time.Duration {
	factor := math.Max(1, math.Log10(float64(nodes)))
	return own.scale(time.Duration(factor * float64(minSuspicionTime)))
}

// due returns the suspect nodes whose deadline has passed.
func (s suspicions) due(now time.Time) []fleet.NodeID {
	var ids []fleet.NodeID
	for id, entry := range s {
		if !now.Before(entry.deadline) {
			ids = append(ids, id)
		}
	}
	return ids
}
