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
	// every is how often this node's own backend servers are compared.
	every = time.Second
	// maxRecords is the number of facts in one append.
	maxRecords = 200
	// defaultPerSecond is the fleet's budget of appends a second.
	defaultPerSecond = 100
	// longestPause bounds the pause after failed appends.
	longestPause = 30 * time.Second
)

// Reconciler is one node's duty to append joins and leaves.
type Reconciler struct {
	self      fleet.NodeID
	keeper    Keeper
	local     func() []fleet.Backend
	members   func() []fleet.Member
	clock     clockwork.Clock
	perSecond int
	sweeper
	// joined holds the backend servers that this node told of.
	joined map[fleet.BackendID]bool
	// notBefore is the earliest time of the next append.
	notBefore time.Time
	pause     time.Duration
}

// New returns the duty of the node self; local lists the backend servers of its
// VM, members all nodes that it knows of.
func New(self fleet.NodeID, k Keeper, local func() []fleet.Backend, members func() []fleet.Member, options ...Option) *Reconciler {
	r := &Reconciler{
		self:      self,
		keeper:    k,
		local:     local,
		members:   members,
		clock:     clockwork.NewRealClock(),
		perSecond: defaultPerSecond,
		joined:    make(map[fleet.BackendID]bool),
	}
	for _, option := range options {
		option(r)
	}
	r.sweeper = sweeper{self: self, absent: make(map[fleet.NodeID]absence)}
	return r
}

// Run appends what is missing until ctx is done.
func (r *Reconciler) Run(ctx context.Context) error {
	for {
		select {
		case <-r.clock.After(every):
		case <-ctx.Done():
			return ctx.Err()
		}
		r.step(ctx)
	}
}

// step appends at most one group of facts.
func (r *Reconciler) step(ctx context.Context) {
	if !r.keeper.Ready() {
		return
	}
	now := r.clock.Now()
	state := r.keeper.State()
	members := r.members()
	records := r.missing()
	own := len(records)
	records = append(records, r.leaves(now, state, members)...)
	if len(records) == 0 {
		r.notBefore = time.Time{}
		return
	}
	if r.notBefore.IsZero() {
		r.notBefore = now.Add(r.spread(len(members)))
	}
	if now.Before(r.notBefore) {
		return
	}
	records = records[:min(len(records), maxRecords)]
	if r.append(ctx, records) {
		r.appended(now, max(0, len(records)-own))
	}
}

// append appends the records as one and reports whether that is certain.
func (r *Reconciler) append(ctx context.Context, records []*cowsliptallyv1.Record) bool {
	group := &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Group{Group: &cowsliptallyv1.Group{Records: records}}}
	if err := r.keeper.Append(ctx, group); err != nil {
		// Nothing is queued: the comparison finds what is missing after the pause.
		r.pause = min(max(2*r.pause, every), longestPause)
		r.notBefore = r.clock.Now().Add(r.pause/2 + rand.N(r.pause))
		return false
	}
	r.pause = 0
	// The fold shows the records soon; the same ones must not be appended meanwhile.
	r.notBefore = r.clock.Now().Add(2 * every)
	return true
}

// spread is a random delay so that all nodes together stay within the budget.
func (r *Reconciler) spread(nodes int) time.Duration {
	longest := time.Duration(nodes) * time.Second / time.Duration(r.perSecond)
	return rand.N(longest + 1)
}

// missing lists joins and leaves of this node's own backend servers that the
// fold does not show.
func (r *Reconciler) missing() []*cowsliptallyv1.Record {
	state := r.keeper.State()
	working := make(map[fleet.BackendID]bool)
	var records []*cowsliptallyv1.Record
	for _, backend := range r.local() {
		if !backend.TakesWork() {
			continue
		}
		working[backend.ID] = true
		r.joined[backend.ID] = true
		known, found := state.Backend(backend.ID)
		if !found || !same(known, backend) {
			records = append(records, join(backend))
		}
	}
	for id := range r.joined {
		if working[id] {
			continue
		}
		known, found := state.Backend(id)
		if !found || known.Owner != r.self {
			delete(r.joined, id)
			continue
		}
		records = append(records, leave(known, r.self, "the owner no longer runs it"))
	}
	return records
}

// same reports whether the fold knows a backend server as it is.
func same(known, actual fleet.Backend) bool {
	return known.Owner == actual.Owner && known.Service == actual.Service &&
		known.Slots == actual.Slots && known.Address == actual.Address
}
