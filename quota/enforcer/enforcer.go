// Package enforcer keeps organisations within their quotas over the whole fleet: it asks their home
// nodes for credit, grants credit where this node is the home, and answers QuotaService.
//
// It addresses organisations that send through many nodes at once, or far more than usual. The
// decisions are made by the packages ranker, allocator and spender.
package enforcer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/quota/allocator"
	"cowsliptally.example/cowsliptally/quota/ranker"
	"cowsliptally.example/cowsliptally/quota/spender"
)

const (
	// askTimeout is the time after which the next node is asked. The first is still waited for:
	// a node that has used up its share of the processor pauses for about as long.
	askTimeout = 100 * time.Millisecond
	// decisionTimeout bounds the time that a request waits for its decision.
	decisionTimeout = 200 * time.Millisecond
	// relayTimeout bounds a call that is made to answer another one.
	relayTimeout = 80 * time.Millisecond
	// skipTime is how long a node that did not answer is not asked again.
	skipTime = time.Second
	// maxCalls is the number of nodes that are asked for one decision.
	maxCalls = 2
	// maxRounds is how often nodes are chosen anew for one decision, or for one promise, because
	// those that were called do not know the call.
	maxRounds = 4
	// tickInterval is the time between two looks at the members and at what is due.
	tickInterval = 200 * time.Millisecond
	// frozenTime is the time without a tick after which this node counts as frozen. It exceeds
	// the delay of late timers.
	frozenTime = 1500 * time.Millisecond
	// farPast is the start of the fleet's first process: no credit is older than that.
	farPast = -time.Hour
)

// Enforcer is one node's part in the quotas of the fleet. It is safe for concurrent use.
type Enforcer struct {
	self           fleet.NodeID
	members        Members
	configurations ConfigurationSource
	transport      Transport
	clock          clockwork.Clock
	elapsed        func() time.Duration
	joined         func() bool
	recorder       Recorder
	registry       metrics.Registry
	firstStart     bool
	counters       counters
	rule           fleet.QuotaRule
	ranker         *ranker.Ranker
	allocator      *allocator.Allocator
	spender        *spender.Spender

	mu sync.Mutex
	// asking holds the requests that wait for a call of their organisation.
	asking map[fleet.Organisation]*batch
	// skipped holds the nodes that did not answer, with the time until which they are not asked.
	skipped map[fleet.NodeID]time.Duration
	// tickedAt is the time of the last tick.
	tickedAt time.Duration
	// recordedAt is the time of the last event, lost and regained the changes since.
	recordedAt time.Duration
	reported   report
}

// New returns the enforcer of a node; Run keeps it up to date.
func New(self fleet.NodeID, rule fleet.QuotaRule, members Members, configurations ConfigurationSource, transport Transport, options ...Option) *Enforcer {
	e := &Enforcer{
		self:           self,
		members:        members,
		configurations: configurations,
		transport:      transport,
		clock:          clockwork.NewRealClock(),
		joined:         func() bool { return true },
		recorder:       noRecorder{},
		registry:       metrics.NewRegistry(),
		rule:           rule,
		ranker:         ranker.New(self),
		asking:         make(map[fleet.Organisation]*batch),
		skipped:        make(map[fleet.NodeID]time.Duration),
	}
	for _, option := range options {
		option(e)
	}
	if e.elapsed == nil {
		start := e.clock.Now()
		e.elapsed = func() time.Duration { return e.clock.Since(start) }
	}
	e.counters = newCounters(e.registry)
	now := e.elapsed()
	started := now
	if e.firstStart {
		started = farPast
	}
	e.allocator = allocator.New(rule, started)
	e.spender = spender.New(rule, now)
	e.ranker.Update(members.Members(), now)
	e.tickedAt = now
	return e
}

// Admit decides about one request of an organisation. If it is refused, retryAfter is the time
// until there is room.
func (e *Enforcer) Admit(ctx context.Context, organisation fleet.Organisation, limit fleet.Limit) (retryAfter time.Duration, ok bool) {
	limit.Organisation = organisation
	e.noticeFreeze()
	retryAfter, ok = e.admit(ctx, limit)
	if ok {
		e.counters.admitted.Inc(1)
	} else {
		e.counters.over.Inc(1)
	}
	return retryAfter, ok
}

func (e *Enforcer) admit(ctx context.Context, limit fleet.Limit) (time.Duration, bool) {
	switch verdict, retryAfter := e.spender.Take(limit.Organisation, e.elapsed()); verdict {
	case spender.Admitted:
		return 0, true
	case spender.Denied:
		return retryAfter, false
	default:
	}
	result := e.await(ctx, limit)
	switch {
	case result.local:
		return e.admitLocally(limit)
	case result.granted:
		return 0, true
	default:
		return result.retryAfter, false
	}
}

// admitLocally decides without a home node.
func (e *Enforcer) admitLocally(limit fleet.Limit) (time.Duration, bool) {
	retryAfter, ok := e.spender.TakeLocal(limit, e.ranker.Nodes(), e.elapsed())
	if ok {
		e.counters.local.Inc(1)
	} else {
		e.counters.localOver.Inc(1)
	}
	return retryAfter, ok
}

// Expect tells the addresses of the nodes that there should be, as found at the start of this
// node. At the first start of the fleet they only appear one after the other.
func (e *Enforcer) Expect(addresses []string) {
	if !e.firstStart {
		e.ranker.Expect(addresses, e.elapsed())
	}
}

// GiveBack gives back the credit of a request that was admitted some time ago and did not run.
func (e *Enforcer) GiveBack(organisation fleet.Organisation, admitted time.Duration) {
	e.counters.returned.Inc(1)
	e.spender.Return(organisation, max(0, admitted), e.elapsed())
}

// limit returns the limit of an organisation in force at this node, and its revision.
func (e *Enforcer) limit(organisation fleet.Organisation) (fleet.Limit, fleet.Revision) {
	configuration := e.configurations.Configuration()
	limit, _ := configuration.Limit(organisation)
	return limit, configuration.Revision()
}

// Sizes returns the numbers of organisations that this node grants for, and that it spends for.
func (e *Enforcer) Sizes() (granting, spending int) {
	return e.allocator.Len(), e.spender.Len()
}
