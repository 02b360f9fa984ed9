// Package arbiter decides what an ingress does with an attempt at which a backend server may be at
// work. It does no I/O: all that is known about the attempt goes in, the next step comes out.
package arbiter

import "time"

const (
	// askAfter is the number of progress timeouts without a sign of life, 0.7 s, after which an owner
	// is asked about an attempt.
	askAfter = 2
	// minRetryTime is the least time left in which another attempt is taken to be in time: a round
	// trip between zones and a short request, as for owners.
	minRetryTime = 100 * time.Millisecond
	// searchTime is the time before the end of the owner's node from which a slot for the next attempt
	// is looked for. In it, owners that are full or stop are asked three times.
	searchTime = 1050 * time.Millisecond
	// decisionInterval is the longest time between two decisions about an attempt: the progress timeout.
	decisionInterval = 350 * time.Millisecond
	// slotTime is how long a reserved slot is relied on: owners hold it for 0.5 s.
	slotTime = 400 * time.Millisecond
	// lateSearchTime is the time before the end of the owner's node from which a slot is reserved for the
	// next attempt, also if that has little time: the slot is still relied on when the node has ended.
	lateSearchTime = slotTime - 20*time.Millisecond
	// minAnswerTime is the least time for which the answer of an ended process is waited for.
	minAnswerTime = time.Second
)

// Attempt is what is known about an attempt. The zero value is one that was just sent.
type Attempt struct {
	// sent is when the attempt was sent, or dispatched if it waited for a slot.
	sent       time.Time
	deadline   time.Time
	repeatable bool
	lastLoss   bool
	// waiting is set while it waits for a slot.
	waiting    bool
	nodeEnd    time.Time
	timeouts   int
	progressAt time.Time
	answer     Answer
	refusedAt  time.Time
	search     SlotSearch
	reservedAt time.Time
	ending     Ending
	// hedgeFrom is when another attempt is made beside this one if it has been at work for hedgeAge; zero for never.
	hedgeFrom time.Time
	hedgeAge  time.Duration
	hedged    bool
}

// New returns an attempt that was sent at a time and has a deadline.
func New(sent, deadline time.Time) Attempt {
	return Attempt{sent: sent, deadline: deadline, progressAt: sent}
}

// WithDeadline returns a copy with another deadline.
func (a Attempt) WithDeadline(deadline time.Time) Attempt {
	a.deadline = deadline
	return a
}

// WithWaiting returns a copy that waits for a slot.
func (a Attempt) WithWaiting() Attempt {
	a.waiting = true
	return a
}

// WithDispatch returns a copy that was dispatched at a time, from which its work counts. An attempt that has not waited for
// a slot is returned as it is: its work counts from when it was sent.
func (a Attempt) WithDispatch(at time.Time) Attempt {
	if a.waiting {
		a.waiting, a.sent = false, at
	}
	return a
}

// WithRepeatable returns a copy that another attempt may follow although it may have run. If
// lastLoss is set, none may follow once its owner counts as lost as well. None follows a hedged attempt.
func (a Attempt) WithRepeatable(lastLoss bool) Attempt {
	a.repeatable, a.lastLoss = !a.hedged, lastLoss
	return a
}

// WithoutNext returns a copy that no other attempt may follow any more, also if a slot is reserved for one.
func (a Attempt) WithoutNext() Attempt {
	a.repeatable, a.search = false, NotSearched
	return a
}

// WithProgress returns a copy whose owner gave a sign of life at a time.
func (a Attempt) WithProgress(at time.Time) Attempt {
	a.progressAt, a.timeouts = at, 0
	a.answer, a.refusedAt = NotAsked, time.Time{}
	return a
}

// WithNodeEnd returns a copy whose owner has told when its node ends.
func (a Attempt) WithNodeEnd(at time.Time) Attempt {
	a.nodeEnd = at
	return a
}

// WithSilence returns a copy with a number of progress timeouts in a row without a sign of life. The
// owner is asked, and a slot looked for, afresh.
func (a Attempt) WithSilence(timeouts int) Attempt {
	a.timeouts, a.answer = timeouts, NotAsked
	return a.WithNewSearch()
}

// WithNewSearch returns a copy for which a slot is looked for afresh, unless one is reserved.
func (a Attempt) WithNewSearch() Attempt {
	if a.search != SlotReserved {
		a.search = NotSearched
	}
	return a
}

// WithAnswer returns a copy with what is known from asking its silent owner at a time.
func (a Attempt) WithAnswer(answer Answer, at time.Time) Attempt {
	a.answer = answer
	if answer == Ended && a.refusedAt.IsZero() {
		a.refusedAt = at
	}
	return a
}

// WithSearch returns a copy with the result of the search for a slot at a time.
func (a Attempt) WithSearch(search SlotSearch, at time.Time) Attempt {
	a.search, a.reservedAt = search, at
	return a
}

// WithEnding returns a copy that ended without an answer.
func (a Attempt) WithEnding(ending Ending) Attempt {
	a.ending = ending
	return a
}

// Stopping reports whether the owner has told that its node stops.
func (a Attempt) Stopping() bool { return !a.nodeEnd.IsZero() }

// Next returns the next step. An attempt is given up only if nothing is lost by it: it did not run,
// its answer cannot come, or a slot is reserved for the next one.
func (a Attempt) Next(now time.Time) Step {
	switch {
	case a.ending != Running:
		return a.afterEnd(now)
	case a.timeouts >= askAfter:
		return a.nextInSilence(now)
	case a.timeouts == 0 && a.mustMove(now):
		return a.nextInSearch(now)
	case a.timeouts == 0 && a.mustReserve(now):
		return a.nextBeforeEnd(now)
	case a.timeouts == 0 && a.mustHedge(now):
		return a.nextInHedge()
	default:
		return Wait
	}
}

// mustMove reports whether the attempt waits at an owner where it is not worth beginning, or the owner's node is about
// to end before the attempt has to, and another attempt has at least the time that this one has taken: it begins anew.
func (a Attempt) mustMove(now time.Time) bool {
	switch {
	case !a.Stopping() || !a.mayFollow(now) || !a.deadline.After(a.nodeEnd):
		return false
	case a.waiting && !a.WithDispatch(now).IsWorthBeginning():
		return true
	default:
		return !now.Before(a.nodeEnd.Add(-searchTime)) && a.deadline.Sub(now) >= a.taken(now)
	}
}

// taken returns the longest time for which a backend server may have been at work on the attempt.
func (a Attempt) taken(now time.Time) time.Duration {
	if a.waiting {
		return 0
	}
	return now.Sub(a.sent)
}

// mustReserve reports whether the owner's node is about to end the attempt, and another one may follow then.
func (a Attempt) mustReserve(now time.Time) bool {
	return a.Stopping() && a.repeatable && a.deadline.Sub(a.nodeEnd) >= minRetryTime && !now.Before(a.nodeEnd.Add(-lateSearchTime))
}

// IsWorthBeginning reports whether an attempt is to begin at an owner whose node stops while other owners may have a
// slot: its deadline comes before the end of the node, or another one will have as much time as this one has taken when
// the last slot is looked for.
func (a Attempt) IsWorthBeginning() bool {
	if !a.Stopping() || !a.deadline.After(a.nodeEnd) {
		return true
	}
	last := a.nodeEnd.Add(-searchTime + decisionInterval)
	return a.repeatable && a.deadline.Sub(last) >= last.Sub(a.sent)
}

// mayFollow reports whether another attempt may follow this one, and can be in time.
func (a Attempt) mayFollow(now time.Time) bool {
	return a.repeatable && a.deadline.Sub(now) >= minRetryTime
}

func (a Attempt) nextInSilence(now time.Time) Step {
	switch {
	case a.answer == NotAsked:
		return Ask
	case a.answer == Sealed || a.answer == Gone:
		return Drop
	case a.answer == Ended && a.isUnanswered(now):
		return Drop
	case !a.mayFollow(now) || a.lastLoss && a.answer != NotSealed:
		return Wait
	default:
		return a.nextInSearch(now)
	}
}

// isUnanswered reports whether what the owner's process wrote before its end would have arrived. TCP
// sends it again at intervals that double: while the path was silent, it was not tried for as long again
// at most.
func (a Attempt) isUnanswered(now time.Time) bool {
	return now.Sub(a.refusedAt) >= max(minAnswerTime, a.refusedAt.Sub(a.progressAt))
}

func (a Attempt) nextInSearch(now time.Time) Step {
	switch {
	case a.hasSlot(now):
		return Move
	case a.search == NoSlot:
		return Wait
	default:
		return Reserve
	}
}

// nextBeforeEnd returns the next step of an attempt that goes on until the owner's node ends.
func (a Attempt) nextBeforeEnd(now time.Time) Step {
	if a.hasSlot(now) || a.search == NoSlot {
		return Wait
	}
	return Reserve
}

// hasSlot reports whether the slot of the next attempt is still reserved.
func (a Attempt) hasSlot(now time.Time) bool {
	return a.search == SlotReserved && now.Sub(a.reservedAt) < slotTime
}

// afterEnd returns what follows an attempt that ended without an answer.
func (a Attempt) afterEnd(now time.Time) Step {
	switch {
	case a.hasSlot(now):
		return Move
	case a.ending == NodeEnded && a.mayFollow(now):
		return Search
	default:
		return Drop
	}
}
