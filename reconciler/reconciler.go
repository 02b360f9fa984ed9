package reconciler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

const (
	// compareInterval is the time between two comparisons of this node's own
	// backend servers with the replicated state.
	compareInterval = time.Second
	// maxRecords is the maximum number of records in one append.
	maxRecords = 200
	// defaultAppendsPerSecond is the append budget of the whole fleet.
	defaultAppendsPerSecond = 100
	// maxBackoff bounds the backoff after failed appends.
	maxBackoff = 30 * time.Second
)

// Reconciler appends joins and leaves at one node.
type Reconciler struct {
	self             fleet.NodeID
	replicator       Replicator
	local            func() []fleet.Backend
	members          func() []fleet.Member
	clock            clockwork.Clock
	appendsPerSecond int
	sweeper
	// joined holds the backend servers of this node that take work or whose leave
	// has not been applied yet.
	joined map[fleet.BackendID]bool
	// notBefore is the earliest time of the next append.
	notBefore time.Time
	backoff   time.Duration
}

// New returns the Reconciler of the node self; local lists the backend servers of
// its VM, members all known nodes.
func New(self fleet.NodeID, k Replicator, local func() []fleet.Backend, members func() []fleet.Member, options ...Option) *Reconciler {
	r := &Reconciler{
		self:             self,
		replicator:       k,
		local:            local,
		members:          members,
		clock:            clockwork.NewRealClock(),
		appendsPerSecond: defaultAppendsPerSecond,
		joined:           make(map[fleet.BackendID]bool),
	}
	for _, option := range options {
		option(r)
	}
	r.sweeper = sweeper{self: self, absent: make(map[fleet.NodeID]absence)}
	return r
}

// Run appends missing records until ctx is done.
func (r *Reconciler) Run(ctx context.Context) error {
	for {
		select {
		case <-r.clock.After(compareInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		r.step(ctx)
	}
}

// step appends at most one group of records.
func (r *Reconciler) step(ctx context.Context) {
	if !r.replicator.Ready() {
		return
	}
	now := r.clock.Now()
	state := r.replicator.State()
	members := r.members()
	records := r.missingRecords()
	own := len(records)
	records = append(records, r.pendingLeaves(now, state, members)...)
	if len(records) == 0 {
		r.notBefore = time.Time{}
		return
	}
	if r.notBefore.IsZero() {
		r.notBefore = now.Add(r.randomDelay(len(members)))
	}
	if now.Before(r.notBefore) {
		return
	}
	records = records[:min(len(records), maxRecords)]
	if r.append(ctx, records) {
		r.recordAppended(now, max(0, len(records)-own))
	}
}

// append appends the records as one group and reports whether it certainly
// succeeded.
func (r *Reconciler) append(ctx context.Context, records []*cowsliptallyv1.Record) bool {
	group := &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Group{Group: &cowsliptallyv1.Group{Records: records}}}
	if err := r.replicator.Append(ctx, group); err != nil {
		// Failed records are not queued: the comparison after the backoff lists
		// those that are still missing.
		r.backoff = min(max(2*r.backoff, compareInterval), maxBackoff)
		r.notBefore = r.clock.Now().Add(r.backoff/2 + rand.N(r.backoff))
		return false
	}
	r.backoff = 0
	// The records are applied soon; they must not be appended again meanwhile.
	r.notBefore = r.clock.Now().Add(2 * compareInterval)
	return true
}

// randomDelay returns a random delay so that all nodes together stay within the
// append budget.
func (r *Reconciler) randomDelay(nodes int) time.Duration {
	longest := time.Duration(nodes) * time.Second / time.Duration(r.appendsPerSecond)
	return rand.N(longest + 1)
}

// missingRecords lists the joins and leaves of this node's own backend servers
// that the replicated state lacks.
func (r *Reconciler) missingRecords() []*cowsliptallyv1.Record {
	state := r.replicator.State()
	working := make(map[fleet.BackendID]bool)
	var records []*cowsliptallyv1.Record
	for _, backend := range r.local() {
		if !backend.AcceptsRequests() {
			continue
		}
		working[backend.ID] = true
		r.joined[backend.ID] = true
		entry, found := state.Backend(backend.ID)
		if !found || !upToDate(entry, backend) {
			records = append(records, join(backend))
		}
	}
	for id := range r.joined {
		if working[id] {
			continue
		}
		entry, found := state.Backend(id)
		if !found || entry.Owner != r.self {
			delete(r.joined, id)
			continue
		}
		records = append(records, leave(entry, r.self, "the owner no longer runs it"))
	}
	return records
}

// upToDate reports whether the entry of a backend server in the replicated state
// matches the backend server.
func upToDate(entry, actual fleet.Backend) bool {
	return entry.Owner == actual.Owner && entry.Service == actual.Service &&
		entry.Slots == actual.Slots && entry.Address == actual.Address
}
