package prober

import (
	"math"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const suspicionBase = 2 * time.Second

// suspicions holds the nodes that this node itself accused, with the time when
// each is checked for the last time.
type suspicions map[fleet.NodeID]suspicion

type suspicion struct {
	incarnation uint64
	deadline    time.Time
}

// suspicionTime returns how long a node has to refute, in a fleet of so many nodes.
func suspicionTime(nodes int, own awareness) time.Duration {
	factor := math.Max(1, math.Log10(float64(nodes)))
	return own.scale(time.Duration(factor * float64(suspicionBase)))
}

// due returns the accused nodes whose time is over.
func (s suspicions) due(now time.Time) []fleet.NodeID {
	var ids []fleet.NodeID
	for id, entry := range s {
		if !now.Before(entry.deadline) {
			ids = append(ids, id)
		}
	}
	return ids
}
