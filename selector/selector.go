package selector

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowsliptally.example/cowsliptally/fleet"
)

// Selector ranks a snapshot of the live nodes.
type Selector struct {
	nodes []fleet.NodeID
}

// New returns a selector of the members that are alive.
func New(members []fleet.Member) *Selector {
	s := &Selector{}
	for _, member := range members {
		if member.State == fleet.MemberAlive {
			s.nodes = append(s.nodes, member.ID)
		}
	}
	return s
}

// Rank returns the rank of a node for a task, starting at 0. The node need not be among
// the members.
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

// First returns the nodes with the first ranks for a task, in order, at most count.
func (s *Selector) First(count int, task string) []fleet.NodeID {
	type ranked struct {
		node  fleet.NodeID
		score uint64
	}
	all := make([]ranked, len(s.nodes))
	for i, node := range s.nodes {
		all[i] = ranked{node, score(node, task)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	first := make([]fleet.NodeID, min(count, len(all)))
	for i := range first {
		first[i] = all[i].node
	}
	return first
}

func score(node fleet.NodeID, task string) uint64 {
	return xxhash.Sum64String(task + "\x00" + string(node))
}
