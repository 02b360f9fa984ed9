package selector

import (
	"github.com/cespare/xxhash/v2"

	"cowsliptally.example/cowsliptally/fleet"
)

// Selector ranks the nodes of one moment.
type Selector struct {
	nodes []fleet.NodeID
}

// New returns a selector among the members that live.
func New(members []fleet.Member) *Selector {
	s := &Selector{}
	for _, member := range members {
		if member.State == fleet.MemberAlive {
			s.nodes = append(s.nodes, member.ID)
		}
	}
	return s
}

// Rank returns the place of a node for a task, from 0; the node counts even if
// it is not among the members.
func (s *Selector) Rank(node fleet.NodeID, task string) int {
	own := score(node, task)
	rank := 0
	for _, other := range s.nodes {
		if other != node && score(other, task) > own {
			rank++
		}
	}
	return rank
}

func score(node fleet.NodeID, task string) uint64 {
	return xxhash.Sum64String(task + "\x00" + string(node))
}
