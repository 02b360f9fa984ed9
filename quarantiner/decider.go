package quarantiner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowsliptally.example/cowsliptally/fleet"
)

// Deciders returns the nodes that may permit trial requests of an identity, in the order in which they are asked:
// the next one only if no process answers at those before. Each identity has its own order, so that the
// nodes share the work; nodes that are alive come before those that are suspect.
func Deciders(identity string, members []fleet.Member) []fleet.Member {
	live := slices.DeleteFunc(slices.Clone(members), func(m fleet.Member) bool { return !m.IsLive() })
	scores := make(map[fleet.NodeID]uint64, len(live))
	for _, member := range live {
		scores[member.ID] = xxhash.Sum64String(identity + string(member.ID))
	}
	slices.SortFunc(live, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return live
}
