// Package balancer chooses the backend server for each attempt: the less
// loaded of two drawn at random, in the node's availability zone as long as
// there is room.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// staleAfter is the age from which an owner's report is not used.
	staleAfter = time.Second
	// fullLoad is the load from which a backend server has no room: all slots taken.
	fullLoad = 1.0
	// spillLoad is the load from which other availability zones are looked at.
	spillLoad = 0.75
	// failurePenalty is how long a failed attempt keeps its slot in the
	// balancer's count, so that fast errors attract no traffic.
	failurePenalty = 100 * time.Millisecond
	// warmTime is the length of the slow start after a cold start.
	warmTime = 10 * time.Second
	// leastWarm is the share at the beginning of the slow start.
	leastWarm = 0.1
	// maxDraws bounds the draws for one choice before all candidates are looked at.
	maxDraws = 8
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Verdicts tells how far a backend server is trusted.
type Verdicts interface {
	// Health returns the state that the node gives it.
	Health(fleet.BackendID) fleet.Health
	// Share returns the part of a fair share that it may get, from 0 to 1.
	Share(fleet.BackendID) float64
}

// Balancer chooses backend servers. It is safe for concurrent use.
type Balancer struct {
	clock    Clock
	zone     fleet.Zone
	verdicts Verdicts

	mu       sync.Mutex
	random   *rand.Rand
	loads    map[fleet.BackendID]*load
	services map[fleet.ServiceName]*group
}

// New returns a balancer.
func New(options ...Option) *Balancer {
	b := &Balancer{
		clock:    systemClock{},
		verdicts: trusting{},
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		loads:    map[fleet.BackendID]*load{},
		services: map[fleet.ServiceName]*group{},
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// Pick returns the backend server for the next attempt of a request. Those in
// tried are not chosen again. It returns false when no candidate is left.
// Candidates are not changed and may be shared.
func (b *Balancer) Pick(
	service fleet.ServiceName, candidates []fleet.Backend, tried []fleet.BackendID, idempotent bool,
) (fleet.Backend, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.choice(service, candidates, tried, idempotent)
	c.group.picks++
	if found, ok := c.trickle(); ok {
		return found, true
	}
	if found, ok := c.near(); ok {
		return found, true
	}
	return c.any()
}

// Begin notes that an attempt goes to a backend server.
func (b *Balancer) Begin(id fleet.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).own++
}

// End notes that an attempt is over.
func (b *Balancer) End(id fleet.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).end()
}

// Fail notes that an attempt is over and failed. It is called in place of End.
func (b *Balancer) Fail(id fleet.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.end()
	l.fail(b.clock.Now())
}

// Report takes in what an owner says of a backend server.
func (b *Balancer) Report(report fleet.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(report.Backend).report = report
}

// Forget drops what is kept of a backend server that is gone.
func (b *Balancer) Forget(id fleet.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.loads, id)
}

func (b *Balancer) load(id fleet.BackendID) *load {
	l, found := b.loads[id]
	if !found {
		l = &load{}
		b.loads[id] = l
	}
	return l
}
