package dispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/estimator"
	"cowsliptally.example/cowsliptally/fleet"
)

// gate controls the slots of one backend server.
type gate struct {
	clock clockwork.Clock

	mu       sync.Mutex
	admitter *admitter.Admitter
	slots    int
	last     admitter.ID
	waiters  map[admitter.ID]chan admitter.Decision
	// estimator estimates the backend server's failure probability; with nil it is always
	// healthy.
	estimator *estimator.Estimator
	// lastFailing is the state in the last recorded event.
	lastFailing bool
	// running holds the attempts in slots.
	running map[admitter.ID]*attempt
	// pause ends when the limit of the backend server allows the first queued request; nil
	// while none waits for that.
	pause clockwork.Timer
	// sent counts the requests sent since the limit last changed, at limitSince.
	sent       int
	limitSince time.Time
	// stopping is set once the node stops; the estimate then leaves out requests in flight.
	stopping bool
}

func newGate(slots int, usage *admitter.Usage, clock clockwork.Clock) *gate {
	return &gate{
		clock:      clock,
		admitter:   admitter.New(slots, admitter.WithUsage(usage)),
		slots:      slots,
		waiters:    make(map[admitter.ID]chan admitter.Decision),
		running:    make(map[admitter.ID]*attempt),
		limitSince: clock.Now(),
	}
}

// enter waits for a slot and occupies it. It returns an outcome with a reason if the attempt
// gets none. It calls onWait if the attempt has to wait.
func (g *gate) enter(ctx context.Context, a *attempt, onWait func()) (admitter.ID, fleet.Outcome) {
	id, outcome := g.wait(ctx, a.call, onWait)
	if outcome.Reason == "" {
		g.occupy(id, a)
	}
	return id, outcome
}

// wait waits for a slot. It returns an outcome with a reason if the attempt gets none. It
// calls onWait if the attempt has to wait.
func (g *gate) wait(ctx context.Context, c call, onWait func()) (admitter.ID, fleet.Outcome) {
	id, decided := g.arrive(c)
	select {
	case decision := <-decided:
		return id, outcomeOf(decision)
	default:
		onWait()
	}
	select {
	case decision := <-decided:
		return id, outcomeOf(decision)
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case decision := <-decided:
		if decision.Action == admitter.Run {
			g.free(id, c.kind, 0)
		}
	default:
		delete(g.waiters, id)
		g.admitter.Cancel(id)
	}
	return id, refused(fleet.ContextReason(ctx))
}

// occupy records which attempt is in a slot.
func (g *gate) occupy(id admitter.ID, a *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[id] = a
}

// leave frees a slot; took is 0 when the request did not run to its end.
func (g *gate) leave(id admitter.ID, kind fleet.RequestKind, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.free(id, kind, took)
}

// rejects reports whether an attempt must not be sent because the backend server is
// suspected failing.
func (g *gate) rejects(c call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if g.estimator == nil || c.forced || g.estimator.Admits(c.idempotent, c.attempt, now) {
		return false
	}
	return !g.stopping || estimator.IsFailing(g.estimator.FailureProbabilityByResults(now))
}

// failing reports whether the backend server is suspected failing.
func (g *gate) failing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.estimator != nil && estimator.IsFailing(g.estimator.FailureProbability(g.clock.Now()))
}

// start records that a request is sent.
func (g *gate) start(id admitter.ID, kind fleet.RequestKind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent++
	if g.estimator != nil {
		g.estimator.Begin(uint64(id), kind, g.clock.Now())
	}
}

// finish records in the estimator how a request ended. It returns the estimated failure
// probability of the backend server, and "failing" or "sound" if its state changed.
func (g *gate) finish(id admitter.ID, class fleet.Class) (failing float64, changed string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.estimator == nil {
		return 0, ""
	}
	result := estimator.Failed
	switch class {
	case fleet.ClassOK:
		result = estimator.Answered
	case fleet.ClassCancelled, fleet.ClassRefused:
		result = estimator.Undecided
	}
	g.estimator.End(uint64(id), result, g.clock.Now())
	failing = g.estimator.FailureProbability(g.clock.Now())
	isFailing := estimator.IsFailing(failing)
	if isFailing == g.lastFailing {
		return failing, ""
	}
	g.lastFailing = isFailing
	if isFailing {
		return failing, "failing"
	}
	return failing, "sound"
}

// close refuses all waiting attempts.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.admitter.Close())
}

// stop tells that the node stops, until when attempts have to be done and when it ends.
func (g *gate) stop(due, end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	g.deliver(g.admitter.Stop(due, end, g.clock.Now()))
}

// retire admits one request at a time from now on.
func (g *gate) retire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.admitter.Retire(g.clock.Now()))
}

// open accepts attempts for a backend server with this number of slots.
func (g *gate) open(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitter.Open()
	if slots != g.slots {
		g.slots = slots
		g.deliver(g.admitter.Resize(slots, g.clock.Now()))
	}
}

// load returns the numbers of requests in slots and in the queue.
func (g *gate) load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Running(), g.admitter.Waiting()
}

// expected returns the expected service time of a kind, or 0 if none was measured yet.
func (g *gate) expected(kind fleet.RequestKind) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Expected(kind, g.clock.Now())
}

// attempts returns the attempts in slots.
func (g *gate) attempts() []*attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.running))
}

func (g *gate) arrive(c call) (admitter.ID, chan admitter.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last++
	decided := make(chan admitter.Decision, 1)
	g.waiters[g.last] = decided
	g.inherit(c)
	g.deliver(g.admitter.Arrive(admitter.Request{
		ID:           g.last,
		Kind:         c.kind,
		Organisation: c.organisation,
		Weight:       c.weight,
		Deadline:     c.deadline,
		Abort:        c.abort,
		Target:       c.target,
		Repeatable:   c.repeatable(),
		NoWait:       c.noWait,
	}, g.clock.Now()))
	return g.last, decided
}

func (g *gate) free(id admitter.ID, kind fleet.RequestKind, took time.Duration) {
	delete(g.running, id)
	if took == 0 {
		g.deliver(g.admitter.Abandon(id, g.clock.Now()))
		return
	}
	g.deliver(g.admitter.Done(id, kind, took, g.clock.Now()))
}

// deliver sends final decisions to the waiting attempts.
func (g *gate) deliver(decisions []admitter.Decision) {
	for _, decision := range decisions {
		if decision.Action == admitter.Wait {
			continue
		}
		if decided, found := g.waiters[decision.ID]; found {
			decided <- decision
			delete(g.waiters, decision.ID)
		}
	}
	g.schedule()
}

// slotCount returns the announced number of slots.
func (g *gate) slotCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots
}
