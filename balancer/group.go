package balancer

import "cowsliptally.example/cowsliptally/fleet"

// group is the state of one service: the indexes of its usable candidates, the local
// ones (those in the node's availability zone) first.
type group struct {
	picks  uint64
	source []fleet.Backend
	usable []int32
	local  int
}

// update rebuilds the group when the candidates have changed.
func (g *group) update(zone fleet.Zone, candidates []fleet.Backend) {
	if same(g.source, candidates) {
		return
	}
	g.source = candidates
	g.usable = g.usable[:0]
	for i := range candidates {
		if candidates[i].AcceptsRequests() && candidates[i].Zone == zone {
			g.usable = append(g.usable, int32(i))
		}
	}
	g.local = len(g.usable)
	for i := range candidates {
		if candidates[i].AcceptsRequests() && candidates[i].Zone != zone {
			g.usable = append(g.usable, int32(i))
		}
	}
}

// same reports whether two slices are the same part of the same array.
func same(a, b []fleet.Backend) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
