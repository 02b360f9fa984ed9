package reconciler

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/reducer"
	"cowsliptally.example/cowsliptally/selector"
)

const (
	// scanInterval is the time between two scans of all joined backend servers.
	scanInterval = 5 * time.Second
	// deadTimeout is how long a node must be dead before leaves are appended for
	// its backend servers.
	deadTimeout = 15 * time.Second
	// unknownTimeout is the same for a node that is not among the members.
	unknownTimeout = 2 * time.Minute
)

// absence is since when an owner is absent and how long it may be.
type absence struct {
	since time.Time
	limit time.Duration
}

// sweeper finds backend servers of absent nodes.
type sweeper struct {
	self fleet.NodeID
	// absent holds the owners that are dead, have left or are unknown.
	absent   map[fleet.NodeID]absence
	lastScan time.Time
	// pending are the leaves of the last scan that have not been appended yet.
	pending []*cowsliptallyv1.Record
}

// pendingLeaves lists the leaves that this node should append for absent nodes.
func (s *sweeper) pendingLeaves(now time.Time, state reducer.State, members []fleet.Member) []*cowsliptallyv1.Record {
	if now.Sub(s.lastScan) < scanInterval {
		return s.pending
	}
	s.lastScan = now
	s.pending = nil
	absent, owners := s.absentOwners(now, state, members)
	s.absent = absent
	if 2*len(absent) > owners {
		// If most owners seem absent, this node is more likely to be cut off itself.
		return nil
	}
	ranks := selector.New(members)
	due := make(map[fleet.NodeID]bool)
	for owner, absence := range absent {
		rank := ranks.Rank(s.self, "leave/"+string(owner))
		due[owner] = now.Sub(absence.since) >= absence.limit+time.Duration(rank)*deadTimeout
	}
	for backend := range state.EachJoined() {
		if due[backend.Owner] {
			s.pending = append(s.pending, leave(backend, s.self, "its node is gone"))
		}
	}
	return s.pending
}

// recordAppended records that the first pending leaves are in the log. After the
// last one the absence of every owner starts anew, as an owner whose backend
// servers join again is alive.
func (s *sweeper) recordAppended(now time.Time, leaves int) {
	s.pending = s.pending[leaves:]
	if leaves == 0 || len(s.pending) > 0 {
		return
	}
	for owner, a := range s.absent {
		s.absent[owner] = absence{since: now, limit: a.limit}
	}
}

// absentOwners returns the absent owners and the number of all owners.
func (s *sweeper) absentOwners(now time.Time, state reducer.State, members []fleet.Member) (map[fleet.NodeID]absence, int) {
	states := make(map[fleet.NodeID]fleet.MemberState, len(members))
	for _, member := range members {
		states[member.ID] = member.State
	}
	owners := make(map[fleet.NodeID]bool)
	absent := make(map[fleet.NodeID]absence)
	for backend := range state.EachJoined() {
		owner := backend.Owner
		if owners[owner] {
			continue
		}
		owners[owner] = true
		limit, isAbsent := absenceLimit(states[owner])
		if owner == s.self || !isAbsent {
			continue
		}
		since := now
		if before, found := s.absent[owner]; found {
			since = before.since
		}
		absent[owner] = absence{since: since, limit: limit}
	}
	return absent, len(owners)
}

// absenceLimit returns how long an owner may be in a state before leaves are
// appended for its backend servers, and whether it is absent in that state.
func absenceLimit(state fleet.MemberState) (limit time.Duration, isAbsent bool) {
	switch state {
	case fleet.MemberDead, fleet.MemberLeft:
		return deadTimeout, true
	case fleet.MemberAlive, fleet.MemberSuspect:
		return 0, false
	default:
		return unknownTimeout, true
	}
}
