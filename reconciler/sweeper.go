package reconciler

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/folder"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/selector"
)

const (
	// scanEvery is how often all joined backend servers are looked through.
	scanEvery = 5 * time.Second
	// goneAfter is how long a node must be dead until its backend servers leave.
	goneAfter = 15 * time.Second
	// unknownAfter is how long a node must be unknown for the same.
	unknownAfter = 2 * time.Minute
)

// absence is how long an owner is gone and how long it may be.
type absence struct {
	since time.Time
	limit time.Duration
}

// sweeper finds backend servers of nodes that are gone.
type sweeper struct {
	self fleet.NodeID
	// absent holds the owners that are dead or unknown.
	absent  map[fleet.NodeID]absence
	scanned time.Time
	// found are the leaves of the last scan that were not appended yet.
	found []*cowsliptallyv1.Record
}

// leaves lists the leaves that this node is to append for nodes that are gone.
func (s *sweeper) leaves(now time.Time, state folder.State, members []fleet.Member) []*cowsliptallyv1.Record {
	if now.Sub(s.scanned) < scanEvery {
		return s.found
	}
	s.scanned = now
	s.found = nil
	absent, owners := s.absentOwners(now, state, members)
	s.absent = absent
	if 2*len(absent) > owners {
		// It is rather this node that is cut off than most of the fleet that is gone.
		return nil
	}
	ranks := selector.New(members)
	due := make(map[fleet.NodeID]bool)
	for owner, absence := range absent {
		rank := ranks.Rank(s.self, "leave/"+string(owner))
		due[owner] = now.Sub(absence.since) >= absence.limit+time.Duration(rank)*goneAfter
	}
	for backend := range state.EachJoined() {
		if due[backend.Owner] {
			s.found = append(s.found, leave(backend, s.self, "its node is gone"))
		}
	}
	return s.found
}

// appended notes that the first leaves that were found are in the log. After
// the last one the wait begins anew for every owner: one that joins again lives.
func (s *sweeper) appended(now time.Time, leaves int) {
	s.found = s.found[leaves:]
	if leaves == 0 || len(s.found) > 0 {
		return
	}
	for owner, a := range s.absent {
		s.absent[owner] = absence{since: now, limit: a.limit}
	}
}

// absentOwners returns the owners that are gone, and the number of all owners.
func (s *sweeper) absentOwners(now time.Time, state folder.State, members []fleet.Member) (map[fleet.NodeID]absence, int) {
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
		limit, gone := patience(states[owner])
		if owner == s.self || !gone {
			continue
		}
		since := now
		if before, known := s.absent[owner]; known {
			since = before.since
		}
		absent[owner] = absence{since: since, limit: limit}
	}
	return absent, len(owners)
}

// patience returns how long an owner may be in a state until its backend servers leave.
func patience(state fleet.MemberState) (limit time.Duration, gone bool) {
	switch state {
	case fleet.MemberDead, fleet.MemberLeft:
		return goneAfter, true
	case fleet.MemberAlive, fleet.MemberSuspect:
		return 0, false
	default:
		return unknownAfter, true
	}
}
