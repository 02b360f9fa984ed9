package ranker

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Place is the position of a node for one organisation. It is shared and must not be changed.
type Place struct {
	// Order holds the live nodes of the highest hashes, at most MaxOrder of them.
	Order []fleet.Member
	// Rank is the index of this node in the order, or MaxOrder if it is not in it.
	Rank int
	// Share is the part of the rate that this side of a partition may grant: alive nodes
	// divided by all nodes, including those lost recently.
	Share float64
	// Nodes is the number of all nodes, including those lost recently.
	Nodes int
	// PairLost is set when one of the first two nodes was lost within PairRetention and may
	// still run: no other process has taken its address.
	PairLost bool
	// PastLost is set when one of the first two nodes was lost within PairRetention.
	PastLost bool
	// WasPair is set when this node was one of the first two before that loss.
	WasPair bool
	// LostAt is when the latest of them was lost.
	LostAt time.Duration
}

// Second returns the node after the first, if there is one.
func (p *Place) Second() (fleet.Member, bool) {
	if len(p.Order) < 2 {
		return fleet.Member{}, false
	}
	return p.Order[1], true
}

// loss is a node that was lost without leaving.
type loss struct {
	member fleet.Member
	at     time.Duration
}

// scored is a node with its hash for an organisation.
type scored struct {
	member fleet.Member
	score  uint64
	lost   bool
	at     time.Duration
}
