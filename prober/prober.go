package prober

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"cowsliptally.example/cowsliptally/disseminator"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/ring"
	"cowsliptally.example/cowsliptally/roster"
)

// Prober keeps the membership table up to date. It implements PeerService and is safe for
// concurrent use.
type Prober struct {
	node            fleet.NodeID
	roster          *roster.Roster
	transport       Transport
	clock           clockwork.Clock
	seeds           []string
	interval        time.Duration
	timeout         time.Duration
	compareInterval time.Duration
	bytesPerSecond  int
	journal         Journal
	owner           Owner
	progress        Progress
	quarantine      Quarantine
	registry        metrics.Registry
	counters        counters
	// stopChanges queues the changes that stop new work, otherChanges all others.
	stopChanges  *changeQueue
	otherChanges *changeQueue
	// budget limits the bytes of changes sent per second.
	budget *rate.Limiter
	joined atomic.Bool
	// lastExchange is the time of the latest exchange with another node.
	lastExchange atomic.Pointer[time.Time]
	// checks queues the nodes to be probed out of turn.
	checks *ring.Ring[fleet.NodeID]
	// probeSlots bounds the concurrent probes.
	probeSlots chan struct{}

	mu         sync.Mutex
	self       fleet.Member
	random     *rand.Rand
	awareness  awareness
	suspicions suspicions
	rotation   rotation
	// cachedPeers caches the other nodes that are alive or suspect.
	cachedPeers []fleet.Member
	// peersStale is set when cachedPeers must be rebuilt.
	peersStale bool
}

const (
	maxConcurrentProbes = 16
	budgetBurstSeconds  = 20
)

// New returns a prober for a node and adds the node to the membership table.
func New(self fleet.Member, table *roster.Roster, transport Transport, options ...Option) *Prober {
	p := &Prober{
		node:            self.ID,
		roster:          table,
		transport:       transport,
		clock:           clockwork.NewRealClock(),
		interval:        defaultInterval,
		timeout:         defaultTimeout,
		compareInterval: defaultCompareInterval,
		bytesPerSecond:  defaultBytesPerSecond,
		journal:         noJournal{},
		owner:           noOwner{},
		progress:        noProgress{},
		quarantine:      noQuarantine{},
		registry:        metrics.NewRegistry(),
		stopChanges:     newChangeQueue(stopFanout, rate.NewLimiter(stopsPerSecond, stopBurst), stopTransmissions),
		otherChanges:    newChangeQueue(changeFanout, rate.NewLimiter(changesPerSecond, changeBurst), changeTransmissions),
		probeSlots:      make(chan struct{}, maxConcurrentProbes),
		checks:          ring.New[fleet.NodeID](maxChecks),
		random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		suspicions:      make(suspicions),
		peersStale:      true,
	}
	for _, option := range options {
		option(p)
	}
	p.counters = newCounters(p.registry)
	p.budget = rate.NewLimiter(rate.Limit(p.bytesPerSecond), budgetBurstSeconds*p.bytesPerSecond)
	p.self = self.WithState(fleet.MemberAlive).WithIncarnation(max(self.Incarnation, 1))
	p.roster.PutMember(p.self)
	p.queueMemberChange(p.self)
	return p
}

// Run joins the fleet and keeps the membership table up to date until ctx is done.
func (p *Prober) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, task := range []func(context.Context) error{
		p.runProbes, p.runChecks, p.runSuspicions, p.runStops, p.runChanges, p.runComparisons, p.runSeeds, p.runExpiry,
	} {
		group.Go(func() error { return task(ctx) })
	}
	return group.Wait()
}

// Self returns this node's own entry.
func (p *Prober) Self() fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self
}

// BackendChanged records a change of a backend server of this VM and queues it for the peers.
func (p *Prober) BackendChanged(b fleet.Backend) {
	old, _ := p.roster.Backend(b.ID)
	if p.roster.PutBackend(b) {
		p.queueBackendChange(b, old.AcceptsRequests())
	}
}

// ReportLeaving records that a backend server of any VM said in an answer that it leaves, and
// queues that for the peers.
func (p *Prober) ReportLeaving(id fleet.BackendID) {
	b, changed := p.roster.MarkLeft(id)
	if !changed {
		return
	}
	event := fleet.NewEvent(fleet.EventBackendState, string(id), b.State.String()+": leaves, by its answer")
	p.journal.Record(event.WithService(b.Service))
	p.queueBackendChange(b, true)
}

// queueMemberChange queues a change of a node. Changes that stop or resume requests to it
// have priority: that it left, died or is suspect, and that it refuted a suspicion.
func (p *Prober) queueMemberChange(m fleet.Member) {
	key := disseminator.Key{Class: disseminator.ClassMember, ID: string(m.ID)}
	refuted := m.State == fleet.MemberAlive && m.Incarnation > 1
	if m.State == fleet.MemberSuspect || m.State == fleet.MemberLeft || m.State == fleet.MemberDead || refuted {
		p.stopChanges.add(key)
		return
	}
	p.otherChanges.add(key)
}

// queueBackendChange queues a change of a backend server. The change to taking no more work
// has priority; further changes without work are only piggybacked.
func (p *Prober) queueBackendChange(b fleet.Backend, tookWork bool) {
	key := disseminator.Key{Class: disseminator.ClassBackend, ID: string(b.ID)}
	switch {
	case b.AcceptsRequests():
		p.otherChanges.add(key)
	case tookWork:
		p.stopChanges.add(key)
	default:
		p.otherChanges.pending.AddWithoutPush(key)
	}
}

// runExpiry removes expired tombstones periodically.
func (p *Prober) runExpiry(ctx context.Context) error {
	for p.sleep(ctx, expiryInterval) {
		p.roster.Expire()
	}
	return ctx.Err()
}

const expiryInterval = time.Minute

// sleep waits for d; it returns false if ctx is done first.
func (p *Prober) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(d):
		return true
	}
}
