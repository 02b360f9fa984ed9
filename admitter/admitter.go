// Package admitter decides which requests get the slots of one backend server,
// which wait and which are refused. It does no I/O.
//
// The queue is short and holds only work that can still be answered in time.
// When it is full, the request of least worth gives way: first by weight, then
// by how much its organisation used of late.
package admitter

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// timeShare is the share of the newest service time in the expected one.
const timeShare = 0.1

// Admitter holds the slots and the queue of one backend server. It is not safe
// for concurrent use.
type Admitter struct {
	slots       int
	queueLength int
	usage       *Usage
	running     map[ID]struct{}
	waiting     []Request
	expected    map[fleet.RequestKind]time.Duration
	closed      bool
}

// New returns an admitter for a backend server with this many slots.
func New(slots int, options ...Option) *Admitter {
	a := &Admitter{
		slots:       slots,
		queueLength: slots * DefaultQueueFactor,
		running:     make(map[ID]struct{}),
		expected:    make(map[fleet.RequestKind]time.Duration),
	}
	for _, option := range options {
		option(a)
	}
	if a.usage == nil {
		a.usage = NewUsage()
	}
	return a
}

// Arrive decides about a new request. The decisions may refuse another one that waited.
func (a *Admitter) Arrive(r Request, now time.Time) []Decision {
	if a.closed {
		return []Decision{refusal(r.ID, fleet.ReasonDraining)}
	}
	if !now.Add(a.Expected(r.Kind)).Before(r.Deadline) {
		return []Decision{refusal(r.ID, fleet.ReasonDeadline)}
	}
	decisions := a.expire(now)
	if len(a.running) < a.slots && len(a.waiting) == 0 {
		return append(decisions, a.run(r, now))
	}
	a.waiting = append(a.waiting, r)
	decisions = append(decisions, a.shed(now)...)
	for _, d := range decisions {
		if d.ID == r.ID {
			return decisions
		}
	}
	return append(decisions, Decision{ID: r.ID, Action: Wait})
}

// Done frees the slot of a request that took this long and fills it from the queue.
func (a *Admitter) Done(id ID, kind fleet.RequestKind, took time.Duration, now time.Time) []Decision {
	if _, found := a.running[id]; !found {
		return nil
	}
	delete(a.running, id)
	a.learn(kind, took)
	return a.fill(now)
}

// Abandon frees the slot of a request that did not run to its end.
func (a *Admitter) Abandon(id ID, now time.Time) []Decision {
	if _, found := a.running[id]; !found {
		return nil
	}
	delete(a.running, id)
	return a.fill(now)
}

// Cancel forgets a request that its caller gave up; a running one keeps its slot until Done.
func (a *Admitter) Cancel(id ID) {
	for i, r := range a.waiting {
		if r.ID == id {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return
		}
	}
}

// Tick refuses waiting requests that can no longer be answered in time.
func (a *Admitter) Tick(now time.Time) []Decision {
	return append(a.expire(now), a.fill(now)...)
}

// Close refuses all that waits and all that arrives later; running requests go on.
func (a *Admitter) Close() []Decision {
	a.closed = true
	var decisions []Decision
	for _, r := range a.waiting {
		decisions = append(decisions, refusal(r.ID, fleet.ReasonDraining))
	}
	a.waiting = nil
	return decisions
}

// Open takes new work again.
func (a *Admitter) Open() { a.closed = false }

// Resize changes the number of slots.
func (a *Admitter) Resize(slots int, now time.Time) []Decision {
	a.slots = slots
	a.queueLength = slots * DefaultQueueFactor
	return a.fill(now)
}

// Running returns the number of requests with a slot.
func (a *Admitter) Running() int { return len(a.running) }

// Waiting returns the number of requests in the queue.
func (a *Admitter) Waiting() int { return len(a.waiting) }

// Expected returns the usual service time of a request kind.
func (a *Admitter) Expected(kind fleet.RequestKind) time.Duration {
	if usual, found := a.expected[kind]; found {
		return usual
	}
	return 0
}

func (a *Admitter) run(r Request, now time.Time) Decision {
	a.running[r.ID] = struct{}{}
	a.usage.Add(r.Organisation, now)
	return Decision{ID: r.ID, Action: Run}
}

// fill gives free slots to the worthiest requests that wait.
func (a *Admitter) fill(now time.Time) []Decision {
	decisions := a.expire(now)
	for len(a.running) < a.slots && len(a.waiting) > 0 {
		best := 0
		for i := 1; i < len(a.waiting); i++ {
			if a.before(a.waiting[i], a.waiting[best], now) {
				best = i
			}
		}
		r := a.waiting[best]
		a.waiting = append(a.waiting[:best], a.waiting[best+1:]...)
		decisions = append(decisions, a.run(r, now))
	}
	return decisions
}

// shed refuses the least worthy requests until the queue is within its bound.
func (a *Admitter) shed(now time.Time) []Decision {
	var decisions []Decision
	for len(a.waiting) > a.queueLength {
		worst := 0
		for i := 1; i < len(a.waiting); i++ {
			if !a.before(a.waiting[i], a.waiting[worst], now) {
				worst = i
			}
		}
		reason := fleet.ReasonBusy
		if worst < len(a.waiting)-1 {
			reason = fleet.ReasonShed
		}
		decisions = append(decisions, refusal(a.waiting[worst].ID, reason))
		a.waiting = append(a.waiting[:worst], a.waiting[worst+1:]...)
	}
	return decisions
}

// expire refuses waiting requests whose deadline leaves no time to run them.
func (a *Admitter) expire(now time.Time) []Decision {
	var decisions []Decision
	kept := a.waiting[:0]
	for _, r := range a.waiting {
		if now.Add(a.Expected(r.Kind)).Before(r.Deadline) {
			kept = append(kept, r)
			continue
		}
		decisions = append(decisions, refusal(r.ID, fleet.ReasonDeadline))
	}
	a.waiting = kept
	return decisions
}

// before reports whether r is served before s. Equal requests keep their order of arrival.
func (a *Admitter) before(r, s Request, now time.Time) bool {
	if r.Weight != s.Weight {
		return r.Weight > s.Weight
	}
	return a.usage.Of(r.Organisation, now) < a.usage.Of(s.Organisation, now)
}

func (a *Admitter) learn(kind fleet.RequestKind, took time.Duration) {
	usual, found := a.expected[kind]
	if !found {
		a.expected[kind] = took
		return
	}
	a.expected[kind] = usual + time.Duration(timeShare*float64(took-usual))
}

func refusal(id ID, reason fleet.Reason) Decision {
	return Decision{ID: id, Action: Refuse, Reason: reason}
}
