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

// ownerSequenceStep separates the sequence numbers of successive owners: a new owner
// starts above every number that the previous one may still use.
const ownerSequenceStep = 1 << 32

// maxNameBytes bounds the identifier and the service of a backend server. Messages between nodes
// hold a few of them.
const maxNameBytes = 255

// RemovalLeases is the number of leases after which a backend server that is gone is forgotten,
// and its identifier may be used again although it left.
const RemovalLeases = 10

// Registrar holds the backend servers that announced themselves to this node. It
// is safe for concurrent use.
type Registrar struct {
	node  fleet.NodeID
	zone  fleet.Zone
	clock clockwork.Clock
	lease time.Duration
	// sweepInterval is the time between two checks for expired leases.
	sweepInterval time.Duration
	directory     Directory
	departures    Departures
	counter       Counter
	journal       Journal

	mu        sync.Mutex
	watchers  []Watcher
	entries   map[fleet.BackendID]*registration
	lastSweep time.Time
	// vacated is set once a backend server has left, until another one announces itself.
	vacated bool
}

// registration is one backend server with its lease.
type registration struct {
	backend fleet.Backend
	expires time.Time
	// left is set by Leave and DrainAll and is never reset.
	left bool
}

// New returns a registrar for the backend servers of a node.
func New(node fleet.NodeID, zone fleet.Zone, options ...Option) *Registrar {
	r := &Registrar{
		node:       node,
		zone:       zone,
		clock:      clockwork.NewRealClock(),
		lease:      defaultLease,
		departures: noDepartures{},
		entries:    make(map[fleet.BackendID]*registration),
	}
	for _, option := range options {
		option(r)
	}
	r.sweepInterval = min(maxSweepInterval, max(r.lease/sweepsPerLease, minSweepInterval))
	r.lastSweep = r.clock.Now()
	return r
}

// Watch adds a watcher. It must be called before Run.
func (r *Registrar) Watch(watcher Watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers = append(r.watchers, watcher)
}

// Run expires leases until ctx is done.
func (r *Registrar) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.clock.After(r.sweepInterval):
			r.Sweep()
		}
	}
}

// Sweep marks backend servers with expired leases as gone. If the node itself was
// paused since the last sweep, it first extends all leases by the pause, because
// announcements that arrived meanwhile may be unread.
func (r *Registrar) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if pause := now.Sub(r.lastSweep) - r.sweepInterval; pause > r.sweepInterval {
		r.extendLeases(pause)
	}
	r.lastSweep = now
	for _, id := range r.sortedIDs() {
		e := r.entries[id]
		if e.backend.State != fleet.BackendGone && !now.Before(e.expires) {
			r.change(e, e.backend.WithState(fleet.BackendGone), "lease lapsed")
		}
	}
	r.removeGone(now)
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
	for _, id := range r.sortedIDs() {
		if b := r.entries[id].backend; b.State != fleet.BackendGone {
			backends = append(backends, b)
		}
	}
	return backends
}

// ReportCrash marks a backend server as gone because its connections failed.
func (r *Registrar) ReportCrash(id fleet.BackendID) { r.end(id, "connections died") }

// ReportReplaced marks a backend server as gone because a newer start took its identifier
// or address.
func (r *Registrar) ReportReplaced(id fleet.BackendID) { r.end(id, "replaced by a newer start") }

// ReportLeaving marks a backend server as leaving because it said so in an answer.
func (r *Registrar) ReportLeaving(id fleet.BackendID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, found := r.entries[id]; found {
		r.recordLeft(e, "leaves, by its answer")
	}
}

// IsVacated reports whether the last backend server of this VM has left, and none has announced itself since. One that
// crashed has not left.
func (r *Registrar) IsVacated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vacated
}

// vacate records that a backend server has left, unless another one accepts requests. The caller holds mu.
func (r *Registrar) vacate() {
	for _, e := range r.entries {
		if e.backend.AcceptsRequests() {
			return
		}
	}
	r.vacated = true
}

func (r *Registrar) end(id fleet.BackendID, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, found := r.entries[id]
	if !found || e.backend.State == fleet.BackendGone {
		return
	}
	r.change(e, e.backend.WithState(fleet.BackendGone), reason)
}

// DrainAll marks every backend server as draining because the node is leaving.
func (r *Registrar) DrainAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.sortedIDs() {
		e := r.entries[id]
		e.left = true
		if e.backend.State != fleet.BackendDraining && e.backend.State != fleet.BackendGone {
			r.change(e, e.backend.WithState(fleet.BackendDraining), "node leaves")
		}
	}
}

// ResolveConflict compares an entry that was received from another node with the own one:
//   - An entry with this node as owner whose backend server is not registered here is
//     marked as gone.
//   - An entry that is as new as the own one or newer, and differs from it, is
//     overridden by the own one with a higher sequence number if the backend server has
//     a lease here or the entry has this node as owner.
//   - Otherwise such an entry has another owner and ends the registration here.
//   - If such an entry says that the backend server left this VM, it is taken as leaving here too.
func (r *Registrar) ResolveConflict(received fleet.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, found := r.entries[received.ID]
	if !found {
		r.markGone(received)
		return
	}
	if received.Sequence < e.backend.Sequence || received == e.backend {
		return
	}
	if received.Left && r.directory != nil && r.directory.HasLeft(received.ID, r.node) {
		r.recordLeft(e, "left, by another node")
	}
	if received.Owner != r.node && !r.leased(e) {
		delete(r.entries, received.ID)
		return
	}
	b := e.backend
	b.Sequence = nextOwnerSequence(received.Sequence)
	r.change(e, b, "entry outbid")
}

// markGone announces an entry as gone that has this node as owner but is not registered here.
func (r *Registrar) markGone(received fleet.Backend) {
	if received.Owner != r.node || received.State == fleet.BackendGone {
		return
	}
	r.notify(received.WithState(fleet.BackendGone), "not on this VM")
}

func (r *Registrar) leased(e *registration) bool {
	return e.backend.State != fleet.BackendGone && r.clock.Now().Before(e.expires)
}

// recordLeft records that the backend server leaves for good.
func (r *Registrar) recordLeft(e *registration, reason string) {
	e.left = true
	if e.backend.Left || e.backend.State == fleet.BackendGone {
		return
	}
	r.change(e, e.backend.WithState(fleet.BackendDraining).WithLeft(), reason)
	r.vacate()
}

func (r *Registrar) change(e *registration, b fleet.Backend, reason string) {
	e.backend = b
	r.notify(b, reason)
}

func (r *Registrar) notify(b fleet.Backend, reason string) {
	for _, watcher := range r.watchers {
		watcher.BackendChanged(b)
	}
	if r.journal == nil {
		return
	}
	event := fleet.NewEvent(fleet.EventBackendState, string(b.ID), b.State.String()+": "+reason)
	r.journal.Record(event.WithService(b.Service))
}

func (r *Registrar) extendLeases(pause time.Duration) {
	for _, e := range r.entries {
		e.expires = e.expires.Add(pause)
	}
}

// removeGone removes gone backend servers whose leases expired more than RemovalLeases ago.
func (r *Registrar) removeGone(now time.Time) {
	for id, e := range r.entries {
		if e.backend.State == fleet.BackendGone && now.Sub(e.expires) > RemovalLeases*r.lease {
			delete(r.entries, id)
		}
	}
}

func (r *Registrar) sortedIDs() []fleet.BackendID {
	ids := make([]fleet.BackendID, 0, len(r.entries))
	for id := range r.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b fleet.BackendID) int {
		return strings.Compare(string(a), string(b))
	})
	return ids
}

func nextOwnerSequence(sequence uint64) uint64 {
	return (sequence/ownerSequenceStep + 1) * ownerSequenceStep
}
