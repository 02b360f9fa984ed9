package forwarder

import "cowsliptally.example/cowsliptally/fleet"

// lostOwner is an owner that could not be queried any more about an attempt.
type lostOwner struct {
	id fleet.NodeID
	// silent is set if nothing is known of its process: its VM may be lost, or only the path to it.
	silent bool
}

// lostCount returns the number of lost owners. A silent one counts unless the membership holds its node for
// alive, as other nodes reach it then.
func (s *submission) lostCount(directory Directory) (count int) {
	for _, owner := range s.lost {
		member, found := directory.Member(owner.id)
		if !owner.silent || !found || member.State != fleet.MemberAlive {
			count++
		}
	}
	return count
}
