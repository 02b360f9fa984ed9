package roster

import (
	"math"
	"unique"

	"cowsliptally.example/cowsliptally/fleet"
)

// PutMember stores a node unless the table has this version or a newer one. It reports
// whether the table changed. A version without addresses, as sent for a suspicion, keeps
// the stored ones.
func (r *Roster) PutMember(m fleet.Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, found := r.members[m.ID]
	if found && !NewerMember(m, old.Member) {
		return false
	}
	if found && m.PeerAddress == "" {
		state, incarnation := m.State, m.Incarnation
		m = old.WithState(state).WithIncarnation(incarnation)
	}
	accepted := r.acceptsRequests(m.ID)
	if found && old.compared {
		r.toggleMember(old.Member)
	}
	changed := memberEntry{Member: internNames(m), compared: true}
	if isTombstone(m) {
		changed.tombstoneSince = r.uptimeSeconds()
	}
	r.members[m.ID] = changed
	r.toggleMember(m)
	if accepted != r.acceptsRequests(m.ID) {
		r.invalidateOwner(m.ID)
	}
	return true
}

// PutBackend stores a backend server unless the table has this version or a newer one. A
// backend server that is known to have left stays so, although its owner was restarted and
// announces it again. It reports whether the table changed.
func (r *Roster) PutBackend(b fleet.Backend) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.findBackend(string(b.ID))
	if i == noEntry && b.Service == "" && b.State != fleet.BackendGone {
		return false
	}
	if i != noEntry {
		old := r.backend(i)
		if !NewerBackend(b, old) {
			return false
		}
		b = withMissingFields(b, old)
		if r.hasLeft(i, b.Owner) && b.State != fleet.BackendGone {
			b = b.WithLeft()
		}
	}
	r.replaceBackend(i, b)
	return true
}

// MarkLeft records that a backend server said that it leaves. It returns the marked entry, and
// whether that changed it.
func (r *Roster) MarkLeft(id fleet.BackendID) (fleet.Backend, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.findBackend(string(id))
	if i == noEntry || r.entries[i].left || r.entries[i].state == fleet.BackendGone {
		return fleet.Backend{}, false
	}
	b := r.backend(i).WithLeft()
	r.replaceBackend(i, b)
	return b, true
}

// HasLeft reports whether a backend server said, within the retention of departures, that it
// leaves the VM of this owner.
func (r *Roster) HasLeft(id fleet.BackendID, owner fleet.NodeID) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	i := r.findBackend(string(id))
	return i != noEntry && r.hasLeft(i, owner)
}

func (r *Roster) hasLeft(i uint32, owner fleet.NodeID) bool {
	e := &r.entries[i]
	return e.left && r.age(e.leftSince) <= r.leftRetention && r.sameVM(fleet.NodeID(r.strings.value(e.owner)), owner)
}

// sameVM reports whether two nodes may be starts of the node of one VM.
func (r *Roster) sameVM(a, b fleet.NodeID) bool {
	first, known := r.members[a]
	second, found := r.members[b]
	return a == b || !known || !found || first.PeerAddress == second.PeerAddress
}

// replaceBackend stores a backend server in place of entry i, which may be noEntry.
func (r *Roster) replaceBackend(i uint32, b fleet.Backend) {
	leftSince := r.uptimeSeconds()
	if i != noEntry {
		if r.entries[i].left {
			leftSince = r.entries[i].leftSince
		}
		r.removeBackend(i)
	}
	r.addBackend(b, leftSince)
}

// addBackend adds a backend server; leftSince is when it became known that it left.
func (r *Roster) addBackend(b fleet.Backend, leftSince uint32) {
	e := entry{
		id:       string(b.ID),
		sequence: b.Sequence,
		service:  r.strings.acquire(string(b.Service)),
		owner:    r.strings.acquire(string(b.Owner)),
		zone:     r.strings.acquire(string(b.Zone)),
		address:  packAddress(b.Address, r.strings),
		slots:    uint16(min(b.Slots, math.MaxUint16)),
		state:    b.State,
		left:     b.Left,
		used:     true,
		compared: true,
	}
	if b.State == fleet.BackendGone {
		e.tombstoneSince = r.uptimeSeconds()
	}
	if b.Left {
		e.leftSince = leftSince
	}
	hash := hashID(kindBackend, e.id)
	e.bucket = uint16(fineBucket(hash))
	e.sameHash = noEntry
	if next, found := r.byHash[hash]; found {
		e.sameHash = next
	}
	e.sameService = r.firstInChain(r.byService, e.service)
	e.sameOwner = r.firstInChain(r.byOwner, e.owner)
	i := r.storeEntry(e)
	r.byHash[hash] = i
	r.byService[e.service] = i
	r.byOwner[e.owner] = i
	r.toggleBackend(i)
	r.candidates.Delete(b.Service)
}

// storeEntry stores an entry in an unused place or a new one.
func (r *Roster) storeEntry(e entry) uint32 {
	if last := len(r.free) - 1; last >= 0 {
		i := r.free[last]
		r.free = r.free[:last]
		r.entries[i] = e
		return i
	}
	r.entries = append(r.entries, e)
	return uint32(len(r.entries) - 1)
}

func (r *Roster) removeBackend(i uint32) {
	e := r.entries[i]
	if e.compared {
		r.toggleBackend(i)
	}
	hash := hashID(kindBackend, e.id)
	unlink(r, r.byHash, hash, i, func(e *entry) *uint32 { return &e.sameHash })
	unlink(r, r.byService, e.service, i, func(e *entry) *uint32 { return &e.sameService })
	unlink(r, r.byOwner, e.owner, i, func(e *entry) *uint32 { return &e.sameOwner })
	r.candidates.Delete(fleet.ServiceName(r.strings.value(e.service)))
	r.strings.release(e.service)
	r.strings.release(e.owner)
	r.strings.release(e.zone)
	e.address.release(r.strings)
	r.entries[i] = entry{}
	r.free = append(r.free, i)
}

// withMissingFields fills in the fields omitted from the short form of a backend server
// that takes no more work.
func withMissingFields(b, old fleet.Backend) fleet.Backend {
	if b.AcceptsRequests() || b.Service != "" {
		return b
	}
	b.Service, b.Zone, b.Address, b.Slots = old.Service, old.Zone, old.Address, old.Slots
	return b
}

// unlink removes entry i from one chain.
func unlink[K comparable](r *Roster, heads map[K]uint32, key K, i uint32, next func(*entry) *uint32) {
	after := *next(&r.entries[i])
	head := heads[key]
	if head == i {
		if after == noEntry {
			delete(heads, key)
			return
		}
		heads[key] = after
		return
	}
	for *next(&r.entries[head]) != i {
		head = *next(&r.entries[head])
	}
	*next(&r.entries[head]) = after
}

// invalidateOwner drops the cached candidates of every service with backend servers of a node.
func (r *Roster) invalidateOwner(id fleet.NodeID) {
	owner, found := r.strings.lookup(string(id))
	if !found {
		return
	}
	for i := r.firstInChain(r.byOwner, owner); i != noEntry; i = r.entries[i].sameOwner {
		r.candidates.Delete(fleet.ServiceName(r.strings.value(r.entries[i].service)))
	}
}

// internNames shares the memory of names that many nodes have in common.
func internNames(m fleet.Member) fleet.Member {
	m.Zone = unique.Make(m.Zone).Value()
	m.Region = unique.Make(m.Region).Value()
	return m
}

// isTombstone reports whether a node is a tombstone.
func isTombstone(m fleet.Member) bool {
	return m.State == fleet.MemberDead || m.State == fleet.MemberLeft
}
