package roster

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	kindMember  = 'm'
	kindBackend = 'b'
)

// Roster is the membership table. It is safe for concurrent use.
type Roster struct {
	clock     clockwork.Clock
	start     time.Time
	retention time.Duration
	// leftRetention is how long departures of backend servers are remembered.
	leftRetention time.Duration

	mu      sync.RWMutex
	strings *interner
	members map[fleet.NodeID]memberEntry
	// entries holds backend servers; free lists the unused places.
	entries []entry
	free    []uint32
	// byHash holds the first entry of each identifier hash.
	byHash map[uint64]uint32
	// byService and byOwner hold the first entry of each interned name.
	byService map[uint32]uint32
	byOwner   map[uint32]uint32
	buckets   buckets

	// candidates caches Backends by service; it is filled and cleared under mu.
	candidates sync.Map
}

// memberEntry is a node; tombstoneSince and compared are as in entry.
type memberEntry struct {
	fleet.Member
	tombstoneSince uint32
	compared       bool
}

// New returns an empty membership table.
func New(options ...Option) *Roster {
	r := &Roster{
		clock:         clockwork.NewRealClock(),
		retention:     defaultRetention,
		leftRetention: defaultLeftRetention,
		strings:       newInterner(),
		members:       make(map[fleet.NodeID]memberEntry),
		byHash:        make(map[uint64]uint32),
		byService:     make(map[uint32]uint32),
		byOwner:       make(map[uint32]uint32),
	}
	for _, option := range options {
		option(r)
	}
	r.start = r.clock.Now()
	return r
}

// Member returns a node by identifier, tombstones included.
func (r *Roster) Member(id fleet.NodeID) (fleet.Member, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, found := r.members[id]
	return m.Member, found
}

// Members returns all nodes, tombstones included, in no order.
func (r *Roster) Members() []fleet.Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	members := make([]fleet.Member, 0, len(r.members))
	for _, m := range r.members {
		members = append(members, m.Member)
	}
	return members
}

// Backend returns a backend server by identifier, tombstones included.
func (r *Roster) Backend(id fleet.BackendID) (fleet.Backend, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	i := r.findBackend(string(id))
	if i == noEntry {
		return fleet.Backend{}, false
	}
	return r.backend(i), true
}

// Backends returns the backend servers of a service that take new work and whose
// owner is alive or suspect. The slice is shared and must not be changed.
func (r *Roster) Backends(service fleet.ServiceName) []fleet.Backend {
	if cached, found := r.candidates.Load(service); found {
		return cached.([]fleet.Backend)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	number, found := r.strings.lookup(string(service))
	if !found {
		return nil
	}
	backends := r.collect(number)
	r.candidates.Store(service, backends)
	return backends
}

// AllBackends returns every backend server of a service, whatever its state. Those of a
// node that left or died are returned as gone whatever their last recorded state, since
// their owner can no longer update it.
func (r *Roster) AllBackends(service fleet.ServiceName) []fleet.Backend {
	r.mu.RLock()
	defer r.mu.RUnlock()
	number, found := r.strings.lookup(string(service))
	if !found {
		return nil
	}
	var backends []fleet.Backend
	for i := r.firstInChain(r.byService, number); i != noEntry; i = r.entries[i].sameService {
		b := r.backend(i)
		if !r.acceptsRequests(b.Owner) {
			b.State = fleet.BackendGone
		}
		backends = append(backends, b)
	}
	return backends
}

// IsVacated reports whether a backend server of a node has left, and the node has none that accepts requests.
func (r *Roster) IsVacated(owner fleet.NodeID) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	number, found := r.strings.lookup(string(owner))
	if !found {
		return false
	}
	left := false
	for i := r.firstInChain(r.byOwner, number); i != noEntry; i = r.entries[i].sameOwner {
		b := r.backend(i)
		if b.AcceptsRequests() {
			return false
		}
		left = left || b.Left
	}
	return left
}

// Size returns the number of nodes and backend servers, tombstones included.
func (r *Roster) Size() (members, backends int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.members), len(r.entries) - len(r.free)
}

func (r *Roster) collect(service uint32) []fleet.Backend {
	var backends []fleet.Backend
	for i := r.firstInChain(r.byService, service); i != noEntry; i = r.entries[i].sameService {
		b := r.backend(i)
		if b.AcceptsRequests() && r.acceptsRequests(b.Owner) {
			backends = append(backends, b)
		}
	}
	return backends
}

// acceptsRequests reports whether a node may receive requests: it is alive or suspect.
func (r *Roster) acceptsRequests(id fleet.NodeID) bool {
	m, found := r.members[id]
	return found && m.IsLive()
}

func (r *Roster) backend(i uint32) fleet.Backend {
	e := &r.entries[i]
	return fleet.Backend{
		ID:       fleet.BackendID(e.id),
		Service:  fleet.ServiceName(r.strings.value(e.service)),
		Owner:    fleet.NodeID(r.strings.value(e.owner)),
		Zone:     fleet.Zone(r.strings.value(e.zone)),
		Address:  e.address.text(r.strings),
		Slots:    int(e.slots),
		State:    e.state,
		Sequence: e.sequence,
		Left:     e.left,
	}
}

func (r *Roster) firstInChain(heads map[uint32]uint32, number uint32) uint32 {
	if i, found := heads[number]; found {
		return i
	}
	return noEntry
}

func (r *Roster) findBackend(id string) uint32 {
	i, found := r.byHash[hashID(kindBackend, id)]
	if !found {
		return noEntry
	}
	for i != noEntry && r.entries[i].id != id {
		i = r.entries[i].sameHash
	}
	return i
}

// uptimeSeconds returns the age of the table in seconds, counted from 1, so that 0 marks an
// entry that is no tombstone.
func (r *Roster) uptimeSeconds() uint32 {
	return uint32(r.clock.Now().Sub(r.start)/time.Second) + 1
}
