package forwarder

import "cowsliptally.example/cowsliptally/fleet"

// maxLostOwners is the number of owners lost during its attempts after which a submission is sent to no other one.
const maxLostOwners = 2

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

// hasLostOwners reports whether the last attempt of a submission is followed by none, as too many owners are lost, and records
// that as its result. Such a request may have killed their VMs, which cannot report it. The membership may declare a silent
// owner dead at any time, so this is asked before each attempt.
func (s *submission) hasLostOwners(directory Directory, last *result) bool {
	if s.lostCount(directory) < maxLostOwners {
		return false
	}
	last.outcome.Reason = fleet.ReasonOwnersLost
	return true
}
