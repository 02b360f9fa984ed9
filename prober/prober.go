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

// Prober keeps a roster true to the fleet. It implements PeerService and is safe
// for concurrent use.
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
	registry        metrics.Registry
	counters        counters
	// stops spreads the changes that stop new work, changes the others.
	stops   *outlet
	changes *outlet
	// budget bounds the bytes of changes a second.
	budget *rate.Limiter
	joined atomic.Bool
	// heard is when another node was heard of last.
	heard atomic.Pointer[time.Time]
	// checks holds the nodes to be probed out of turn.
	checks *ring.Ring[fleet.NodeID]
	// probing bounds the probes that run at a time.
	probing chan struct{}

	mu         sync.Mutex
	self       fleet.Member
	random     *rand.Rand
	awareness  awareness
	suspicions suspicions
	rotation   rotation
	// live caches the identifiers of the nodes that are alive or suspect.
	live []fleet.Member
	// stale is set when live must be made anew.
	stale bool
}

const (
	maxProbing   = 16
	burstSeconds = 20
)

// New returns a prober for a node, which enters itself into the roster.
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
		registry:        metrics.NewRegistry(),
		stops:           newOutlet(stopFanout, rate.NewLimiter(stopsPerSecond, stopBurst), stopCopies),
		changes:         newOutlet(changeFanout, rate.NewLimiter(changesPerSecond, changeBurst), changeCopies),
		probing:         make(chan struct{}, maxProbing),
		checks:          ring.New[fleet.NodeID](maxChecks),
		random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		suspicions:      make(suspicions),
		stale:           true,
	}
	for _, option := range options {
		option(p)
	}
	p.counters = newCounters(p.registry)
	p.budget = rate.NewLimiter(rate.Limit(p.bytesPerSecond), burstSeconds*p.bytesPerSecond)
	p.self = self.WithState(fleet.MemberAlive).WithIncarnation(max(self.Incarnation, 1))
	p.roster.PutMember(p.self)
	p.queueMember(p.self)
	return p
}

// Run joins the fleet and keeps the roster true to it until ctx is done.
func (p *Prober) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, duty := range []func(context.Context) error{
		p.runProbes, p.runChecks, p.runSuspicions, p.runStops, p.runChanges, p.runComparisons, p.runSeeds, p.runExpiry,
	} {
		group.Go(func() error { return duty(ctx) })
	}
	return group.Wait()
}

// Self returns this node as it describes itself to others.
func (p *Prober) Self() fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self
}

// BackendChanged enters a change of a backend server of this VM and spreads it.
func (p *Prober) BackendChanged(b fleet.Backend) {
	old, _ := p.roster.Backend(b.ID)
	if p.roster.PutBackend(b) {
		p.queueBackend(b, old.TakesWork())
	}
}

// queueMember spreads a change of a node; one that stops or starts requests to it goes
// first: that it leaves, died, or is suspect, and that it refutes a suspicion.
func (p *Prober) queueMember(m fleet.Member) {
	key := disseminator.Key{Class: disseminator.ClassMember, ID: string(m.ID)}
	refuted := m.State == fleet.MemberAlive && m.Incarnation > 1
	if m.State == fleet.MemberSuspect || m.State == fleet.MemberLeft || m.State == fleet.MemberDead || refuted {
		p.stops.add(key)
		return
	}
	p.changes.add(key)
}

// queueBackend spreads a change of a backend server; one that takes no more work
// goes first, unless it took none before.
func (p *Prober) queueBackend(b fleet.Backend, tookWork bool) {
	key := disseminator.Key{Class: disseminator.ClassBackend, ID: string(b.ID)}
	switch {
	case b.TakesWork():
		p.changes.add(key)
	case tookWork:
		p.stops.add(key)
	default:
		p.changes.queue.AddQuiet(key)
	}
}

// runExpiry drops old tombstones.
func (p *Prober) runExpiry(ctx context.Context) error {
	for p.sleep(ctx, expiryInterval) {
		p.roster.Expire()
	}
	return ctx.Err()
}

const expiryInterval = time.Minute

// sleep waits and reports whether ctx is still live.
func (p *Prober) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(d):
		return true
	}
}
