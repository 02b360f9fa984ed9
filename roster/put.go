package roster

import (
	"math"
	"unique"

	"cowsliptally.example/cowsliptally/fleet"
)

// PutMember enters a node unless a newer version is known; it reports whether
// the roster changed. A version without addresses, as of a suspicion, keeps the
// known ones.
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
	lived := r.lives(m.ID)
	if found && old.compared {
		r.toggleMember(old.Member)
	}
	changed := memberEntry{Member: share(m), compared: true}
	if buried(m) {
		changed.since = r.seconds()
	}
	r.members[m.ID] = changed
	r.toggleMember(m)
	if lived != r.lives(m.ID) {
		r.clearOwner(m.ID)
	}
	return true
}

// PutBackend enters a backend server unless a newer version is known; it reports
// whether the roster changed.
func (r *Roster) PutBackend(b fleet.Backend) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.find(string(b.ID))
	if i == none && b.Service == "" && b.State != fleet.BackendGone {
		return false
	}
	if i != none {
		old := r.backend(i)
		if !NewerBackend(b, old) {
			return false
		}
		b = complete(b, old)
		r.remove(i)
	}
	r.add(b)
	return true
}

func (r *Roster) add(b fleet.Backend) {
	e := entry{
		id:       string(b.ID),
		sequence: b.Sequence,
		service:  r.strings.acquire(string(b.Service)),
		owner:    r.strings.acquire(string(b.Owner)),
		zone:     r.strings.acquire(string(b.Zone)),
		address:  packAddress(b.Address, r.strings),
		slots:    uint16(min(b.Slots, math.MaxUint16)),
		state:    b.State,
		used:     true,
		compared: true,
	}
	if b.State == fleet.BackendGone {
		e.since = r.seconds()
	}
	hash := hashID(kindBackend, e.id)
	e.bucket = uint16(fineBucket(hash))
	e.sameHash = none
	if next, found := r.byHash[hash]; found {
		e.sameHash = next
	}
	e.sameService = r.first(r.byService, e.service)
	e.sameOwner = r.first(r.byOwner, e.owner)
	i := r.place(e)
	r.byHash[hash] = i
	r.byService[e.service] = i
	r.byOwner[e.owner] = i
	r.toggleBackend(i)
	r.candidates.Delete(b.Service)
}

// place stores an entry in an unused place or a new one.
func (r *Roster) place(e entry) uint32 {
	if last := len(r.free) - 1; last >= 0 {
		i := r.free[last]
		r.free = r.free[:last]
		r.entries[i] = e
		return i
	}
	r.entries = append(r.entries, e)
	return uint32(len(r.entries) - 1)
}

func (r *Roster) remove(i uint32) {
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

// complete fills in what the short form of a backend server that takes no more
// work leaves out.
func complete(b, old fleet.Backend) fleet.Backend {
	if b.TakesWork() || b.Service != "" {
		return b
	}
	b.Service, b.Zone, b.Address, b.Slots = old.Service, old.Zone, old.Address, old.Slots
	return b
}

// unlink takes entry i out of one chain.
func unlink[K comparable](r *Roster, heads map[K]uint32, key K, i uint32, next func(*entry) *uint32) {
	after := *next(&r.entries[i])
	head := heads[key]
	if head == i {
		if after == none {
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

// clearOwner drops the cached candidates of every service that a node owns backend servers of.
func (r *Roster) clearOwner(id fleet.NodeID) {
	owner, found := r.strings.lookup(string(id))
	if !found {
		return
	}
	for i := r.first(r.byOwner, owner); i != none; i = r.entries[i].sameOwner {
		r.candidates.Delete(fleet.ServiceName(r.strings.value(r.entries[i].service)))
	}
}

// share makes the names that many nodes have in common use the same memory.
func share(m fleet.Member) fleet.Member {
	m.Zone = unique.Make(m.Zone).Value()
	m.Region = unique.Make(m.Region).Value()
	return m
}

// buried reports whether a node is a tombstone.
func buried(m fleet.Member) bool {
	return m.State == fleet.MemberDead || m.State == fleet.MemberLeft
}
