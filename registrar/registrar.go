package registrar

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

// ownershipStep separates the sequence numbers of one owner from those of the next.
const ownershipStep = 1 << 32

// Registrar holds the backend servers that announced themselves to this node. It
// is safe for concurrent use.
type Registrar struct {
	node      fleet.NodeID
	zone      fleet.Zone
	clock     clockwork.Clock
	lease     time.Duration
	directory Directory
	counter   Counter
	journal   Journal

	mu       sync.Mutex
	watchers []Watcher
	entries  map[fleet.BackendID]*registration
	swept    time.Time
}

// registration is one backend server with its lease.
type registration struct {
	backend fleet.Backend
	expires time.Time
	// left is set by Leave and stays.
	left bool
}

// New returns a registrar for the backend servers of a node.
func New(node fleet.NodeID, zone fleet.Zone, options ...Option) *Registrar {
	r := &Registrar{
		node:    node,
		zone:    zone,
		clock:   clockwork.NewRealClock(),
		lease:   defaultLease,
		entries: make(map[fleet.BackendID]*registration),
	}
	for _, option := range options {
		option(r)
	}
	r.swept = r.clock.Now()
	return r
}

// Watch adds a watcher; it is to be called before Run.
func (r *Registrar) Watch(watcher Watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers = append(r.watchers, watcher)
}

// Run lets leases lapse until ctx is done.
func (r *Registrar) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.clock.After(defaultInterval):
			r.Sweep()
		}
	}
}

// Sweep lets leases lapse. When the node itself was paused since the last sweep,
// leases are extended by the pause: announcements may wait unread.
func (r *Registrar) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if pause := now.Sub(r.swept) - defaultInterval; pause > defaultInterval {
		r.extend(pause)
	}
	r.swept = now
	for _, id := range r.sorted() {
		e := r.entries[id]
		if e.backend.State != fleet.BackendGone && !now.Before(e.expires) {
			r.change(e, e.backend.WithState(fleet.BackendGone), "lease lapsed")
		}
	}
	r.forget(now)
}

// Backend returns a backend server of this VM.
func (r *Registrar) Backend(id fleet.BackendID) (fleet.Backend, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, found := r.entries[id]
	if !found {
		return fleet.Backend{}, false
	}
	return e.backend, true
}

// Local returns the backend servers of this VM that are not gone, sorted by identifier.
func (r *Registrar) Local() []fleet.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	var backends []fleet.Backend
	for _, id := range r.sorted() {
		if b := r.entries[id].backend; b.State != fleet.BackendGone {
			backends = append(backends, b)
		}
	}
	return backends
}

// Crashed marks a backend server as gone: its connections died.
func (r *Registrar) Crashed(id fleet.BackendID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, found := r.entries[id]
	if !found || e.backend.State == fleet.BackendGone {
		return
	}
	r.change(e, e.backend.WithState(fleet.BackendGone), "connections died")
}

// DrainAll makes every backend server draining; the node goes.
func (r *Registrar) DrainAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.sorted() {
		r.drain(r.entries[id], "node leaves")
	}
}

// Claim compares an entry that another node spreads with the own one. An entry
// that names this node without being here is taken back, and one that
// takes a leased backend server away is outbid; an entry of an owner that came
// later ends the registration here.
func (r *Registrar) Claim(seen fleet.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, found := r.entries[seen.ID]
	if !found {
		r.disown(seen)
		return
	}
	if seen.Sequence < e.backend.Sequence || seen == e.backend {
		return
	}
	if seen.Owner != r.node && !r.leased(e) {
		delete(r.entries, seen.ID)
		return
	}
	b := e.backend
	b.Sequence = nextOwnership(seen.Sequence)
	r.change(e, b, "entry outbid")
}

// disown marks an entry that names this node as owner, but is not known here, as gone.
func (r *Registrar) disown(seen fleet.Backend) {
	if seen.Owner != r.node || seen.State == fleet.BackendGone {
		return
	}
	r.tell(seen.WithState(fleet.BackendGone), "not on this VM")
}

func (r *Registrar) leased(e *registration) bool {
	return e.backend.State != fleet.BackendGone && r.clock.Now().Before(e.expires)
}

func (r *Registrar) drain(e *registration, reason string) {
	e.left = true
	if e.backend.State == fleet.BackendDraining || e.backend.State == fleet.BackendGone {
		return
	}
	r.change(e, e.backend.WithState(fleet.BackendDraining), reason)
}

func (r *Registrar) change(e *registration, b fleet.Backend, reason string) {
	e.backend = b
	r.tell(b, reason)
}

func (r *Registrar) tell(b fleet.Backend, reason string) {
	for _, watcher := range r.watchers {
		watcher.BackendChanged(b)
	}
	if r.journal == nil {
		return
	}
	event := fleet.NewEvent(fleet.EventBackend, string(b.ID), b.State.String()+": "+reason)
	r.journal.Record(event.WithService(b.Service))
}

func (r *Registrar) extend(pause time.Duration) {
	for _, e := range r.entries {
		e.expires = e.expires.Add(pause)
	}
}

// forget drops backend servers that are gone for ten leases.
func (r *Registrar) forget(now time.Time) {
	for id, e := range r.entries {
		if e.backend.State == fleet.BackendGone && now.Sub(e.expires) > 10*r.lease {
			delete(r.entries, id)
		}
	}
}

func (r *Registrar) sorted() []fleet.BackendID {
	ids := make([]fleet.BackendID, 0, len(r.entries))
	for id := range r.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b fleet.BackendID) int {
		return strings.Compare(string(a), string(b))
	})
	return ids
}

func nextOwnership(sequence uint64) uint64 {
	return (sequence/ownershipStep + 1) * ownershipStep
}
