package prober

import (
	"math/rand/v2"

	"cowsliptally.example/cowsliptally/fleet"
)

// rotation yields nodes in random order, each once per turn.
type rotation struct {
	order []fleet.NodeID
}

// next returns the next node that satisfies wanted; refill lists the nodes of a new turn.
func (r *rotation) next(
	random *rand.Rand, refill func() []fleet.NodeID, wanted func(fleet.NodeID) bool,
) (fleet.NodeID, bool) {
	for turn := 0; turn < 2; turn++ {
		for len(r.order) > 0 {
			last := len(r.order) - 1
			id := r.order[last]
			r.order = r.order[:last]
			if wanted(id) {
				return id, true
			}
		}
		r.order = refill()
		random.Shuffle(len(r.order), func(i, j int) {
			r.order[i], r.order[j] = r.order[j], r.order[i]
		})
	}
	return "", false
}
