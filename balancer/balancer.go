// Package balancer chooses the backend server for each attempt: the less
// loaded of two drawn at random, in the node's availability zone as long as
// it has capacity.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// staleAfter is the age from which an owner's load report is ignored.
	staleAfter = time.Second
	// fullLoad is the load from which a backend server has no capacity: all slots are taken.
	fullLoad = 1.0
	// spillLoad is the load of the local choice from which other availability zones are
	// considered.
	spillLoad = 0.75
	// failurePenalty is how long a failed attempt keeps its slot in the
	// balancer's count, so that fast errors attract no traffic.
	failurePenalty = 100 * time.Millisecond
	// pauseUnit is the time to wait for a backend server's limit that counts like one queued
	// request for each slot: about a service time.
	pauseUnit = 250 * time.Millisecond
	// slowStartTime is the length of the slow start after a cold start.
	slowStartTime = 10 * time.Second
	// minSlowStartShare is the share at the beginning of the slow start.
	minSlowStartShare = 0.1
	// maxDraws bounds the draws for one choice before all candidates are compared.
	maxDraws = 8
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// HealthSource provides the health of backend servers.
type HealthSource interface {
	// Health returns the health as this node evaluates it.
	Health(fleet.BackendID) fleet.Health
	// Share returns the part of a fair share of requests that it may get, from 0 to 1.
	Share(fleet.BackendID) float64
}

// Balancer chooses backend servers. It is safe for concurrent use.
type Balancer struct {
	clock  Clock
	zone   fleet.Zone
	health HealthSource

	mu       sync.Mutex
	random   *rand.Rand
	loads    map[fleet.BackendID]*load
	services map[fleet.ServiceName]*group
}

// New returns a balancer.
func New(options ...Option) *Balancer {
	b := &Balancer{
		clock:    systemClock{},
		health:   allHealthy{},
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
	if found, ok := c.limited(); ok {
		return found, true
	}
	if found, ok := c.leastOfTwo(); ok {
		return found, true
	}
	return c.leastLoaded()
}

// Begin records that an attempt is sent to a backend server.
func (b *Balancer) Begin(id fleet.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).inFlight++
}

// End records that an attempt is over.
func (b *Balancer) End(id fleet.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).end()
}

// Fail records that an attempt is over and failed. It is called in place of End.
func (b *Balancer) Fail(id fleet.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.end()
	l.fail(b.clock.Now())
}

// Report stores an owner's load report of a backend server.
func (b *Balancer) Report(report fleet.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(report.Backend).store(report)
}

// Limit returns the limit that was reported last for a backend server, as in
// fleet.HeaderLimit; empty if none was reported.
func (b *Balancer) Limit(id fleet.BackendID) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l, found := b.loads[id]; found {
		return l.report.Limit
	}
	return ""
}

// Forget removes the state of a backend server that no longer exists.
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
