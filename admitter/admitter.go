// Package admitter implements admission control for one backend server: it decides which
// requests get a slot, which are queued and which are refused. It does no I/O.
//
// The queue is short and holds only work that can still be answered in time.
// When it is full, the least valuable request is refused. The value of a request is its
// weight for each second of a slot, lowered by the share of recent use of its organisation
// and once its target cannot be met.
package admitter

import (
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forecaster"
	"cowsliptally.example/cowsliptally/pacer"
)

const (
	// trialInterval is the least time between two trial requests. It bounds how long a kind
	// that is fast again stays refused.
	trialInterval = 500 * time.Millisecond
	// minCost is the least expected service time.
	minCost = 10 * time.Microsecond
	// minUnusedShare keeps the order by weight among requests of an organisation that
	// accounts for all recent use.
	minUnusedShare = 1e-3
	// lateFactor scales the value of a request that cannot meet its target.
	lateFactor = 0.3
	// optimism scales the predicted wait, so that requests that may still be served are kept
	// although service times vary.
	optimism = 0.8
)

// Admitter holds the slots and the queue of one backend server. It is not safe
// for concurrent use.
type Admitter struct {
	slots       int
	queueLength int
	usage       *Usage
	running     map[ID]occupant
	waiting     []Request
	forecaster  *forecaster.Forecaster
	closed      bool
	// trial is the trial request in a slot or in the queue; 0 if there is none.
	trial ID
	// trialAt is when the last trial request was admitted.
	trialAt time.Time
	// pacer keeps to the limit that the backend server names.
	pacer pacer.Pacer
	// stop is the state while the node stops.
	stop stop
	// returns holds the refused requests that are expected to come back.
	returns returns
}

// New returns an admitter for a backend server with this many slots.
func New(slots int, options ...Option) *Admitter {
	a := &Admitter{
		slots:       slots,
		queueLength: slots * DefaultQueueFactor,
		running:     make(map[ID]occupant),
		forecaster:  forecaster.New(),
	}
	for _, option := range options {
		option(a)
	}
	if a.usage == nil {
		a.usage = NewUsage()
	}
	return a
}

// Arrive admits, queues or refuses a new request. The decisions may also refuse queued ones.
func (a *Admitter) Arrive(r Request, now time.Time) []Decision {
	if a.closed || a.mustLeave(r, now) {
		return []Decision{refusal(r.ID, fleet.ReasonDraining)}
	}
	if !now.Before(r.Deadline) || !now.Add(a.Expected(r.Kind, now)).Before(r.Deadline) && !a.admitTrial(r, now) {
		return []Decision{refusal(r.ID, fleet.ReasonDeadline)}
	}
	decisions := a.expire(now)
	if a.isBetterElsewhere(r, now) {
		return append(decisions, a.refuseNoWait(r))
	}
	if a.stop.retired {
		return append(decisions, a.arriveSingle(r, now))
	}
	if len(a.waiting) == 0 && a.take(now) {
		return append(decisions, a.run(r, now))
	}
	if r.NoWait {
		return append(decisions, a.refuseNoWait(r))
	}
	a.waiting = append(a.waiting, r)
	decisions = append(decisions, a.expire(now)...)
	decisions = append(decisions, a.shed(now)...)
	for _, d := range decisions {
		if d.ID == r.ID {
			return decisions
		}
	}
	return append(decisions, Decision{ID: r.ID, Action: Wait})
}

// Done frees the slot of a request that ran this long and fills it from the queue.
func (a *Admitter) Done(id ID, kind fleet.RequestKind, took time.Duration, now time.Time) []Decision {
	if _, found := a.running[id]; !found {
		return nil
	}
	delete(a.running, id)
	if id == a.trial && took < a.Expected(kind, now) {
		a.forecaster.Replace(kind, took, now)
		a.trialAt = time.Time{} // the other kinds are likely to be fast again as well
	} else {
		a.forecaster.Record(kind, took, now)
	}
	a.endTrial(id)
	a.endSingle(id)
	return a.fill(now)
}

// Abandon frees the slot of a request that did not run to completion, and fills it from the queue.
func (a *Admitter) Abandon(id ID, now time.Time) []Decision {
	o, found := a.running[id]
	if !found {
		return nil
	}
	delete(a.running, id)
	a.forecaster.RecordUnfinished(o.kind, now.Sub(o.since), now)
	a.endTrial(id)
	a.endSingle(id)
	return a.fill(now)
}

// Cancel removes a cancelled request from the queue; a running one keeps its slot until Done.
func (a *Admitter) Cancel(id ID) {
	a.endTrial(id)
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

// Close refuses all queued requests and all new ones; running requests continue.
func (a *Admitter) Close() []Decision {
	a.closed = true
	var decisions []Decision
	for _, r := range a.waiting {
		decisions = append(decisions, refusal(r.ID, fleet.ReasonDraining))
	}
	a.waiting = nil
	if _, running := a.running[a.trial]; !running {
		a.trial = 0
	}
	return decisions
}

// Open accepts new requests again.
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

// Expected returns the usual service time of a request kind; 0 if it is not known.
func (a *Admitter) Expected(kind fleet.RequestKind, now time.Time) time.Duration {
	return a.forecaster.Expected(kind, now)
}

// take reports whether a request may run now: a slot is free, and the backend server's limit
// allows one more, which is then counted.
func (a *Admitter) take(now time.Time) bool {
	return len(a.running) < a.slots && a.pacer.Take(now)
}

func (a *Admitter) run(r Request, now time.Time) Decision {
	a.running[r.ID] = occupant{kind: r.Kind, since: now}
	a.usage.Add(r.Organisation, a.cost(r.Kind, now).Seconds(), now)
	return Decision{ID: r.ID, Action: Run}
}

// fill gives free slots to the most valuable queued requests.
func (a *Admitter) fill(now time.Time) []Decision {
	decisions := a.expire(now)
	for len(a.waiting) > 0 && a.take(now) {
		best, _ := a.rank(now)
		r := a.waiting[best]
		a.waiting = append(a.waiting[:best], a.waiting[best+1:]...)
		decisions = append(decisions, a.run(r, now))
	}
	return decisions
}

// shed refuses the least valuable requests until the queue is within its bound.
func (a *Admitter) shed(now time.Time) []Decision {
	var decisions []Decision
	for len(a.waiting) > a.queueLength {
		_, worst := a.rank(now)
		reason := fleet.ReasonBusy
		if worst < len(a.waiting)-1 {
			reason = fleet.ReasonShed
		}
		decisions = append(decisions, a.refuse(a.waiting[worst], reason, now))
		a.endTrial(a.waiting[worst].ID)
		a.waiting = append(a.waiting[:worst], a.waiting[worst+1:]...)
	}
	return decisions
}

// expire refuses waiting requests whose deadline leaves no time to run them once those
// before them have run. Their callers can still go elsewhere.
func (a *Admitter) expire(now time.Time) []Decision {
	order := a.order(now)
	hopeless := make(map[ID]fleet.Reason)
	ahead := 0
	for _, i := range order {
		r := a.waiting[i]
		reason := a.hopeless(r, ahead, now)
		if reason == "" {
			ahead++
			continue
		}
		hopeless[r.ID] = reason
	}
	if len(hopeless) == 0 {
		return nil
	}
	var decisions []Decision
	a.waiting = slices.DeleteFunc(a.waiting, func(r Request) bool {
		reason, found := hopeless[r.ID]
		if found {
			decisions = append(decisions, a.refuse(r, reason, now))
			a.endTrial(r.ID)
		}
		return found
	})
	return decisions
}

// hopeless returns why a waiting request with so many before it cannot be answered in time, or
// the empty reason. Where only the backend server's limit is in the way, others may have room.
func (a *Admitter) hopeless(r Request, ahead int, now time.Time) fleet.Reason {
	if a.stop.retired || a.mustLeave(r, now) {
		return fleet.ReasonDraining
	}
	left := r.Deadline.Sub(now)
	if r.ID != a.trial {
		left -= a.Expected(r.Kind, now)
	}
	switch {
	case a.wait(ahead, now) >= left:
		return fleet.ReasonDeadline
	case a.pacer.Wait(ahead, now) >= left:
		return fleet.ReasonBusy
	default:
		return ""
	}
}

// wait returns the least time until a slot is free for a request with so many before it.
func (a *Admitter) wait(ahead int, now time.Time) time.Duration {
	if a.slots < 1 || len(a.running) < a.slots {
		return 0
	}
	return time.Duration(optimism * float64(a.forecaster.Mean(now)) * float64(ahead) / float64(a.slots))
}

// refuse refuses a queued request and tells when there will be room for it, unless the node stops.
func (a *Admitter) refuse(r Request, reason fleet.Reason, now time.Time) Decision {
	d := refusal(r.ID, reason)
	if reason == fleet.ReasonDraining {
		return d
	}
	turn := time.Duration(float64(a.forecaster.Mean(now)) / float64(max(a.slots, 1)))
	turn = max(turn, a.pacer.Interval())
	d.RetryAfter = a.returns.promise(a.value(r, now), len(a.waiting), turn, now)
	return d
}

func refusal(id ID, reason fleet.Reason) Decision {
	return Decision{ID: id, Action: Refuse, Reason: reason}
}
