package forwarder

import "time"

const (
	// askAfter is the number of progress timeouts without a sign of life, 0.7 s, after which an owner
	// is asked about an attempt.
	askAfter = 2
	// minRetryTime is the least time left in which another attempt is taken to be in time: a round
	// trip between zones and a short request, as for owners.
	minRetryTime = 100 * time.Millisecond
)

// silentStep is what follows from the silence of an owner.
type silentStep uint8

const (
	// keepWaiting waits for the answer, and for the next progress timeout.
	keepWaiting silentStep = iota
	// askOwner asks the owner to seal the attempt.
	askOwner
	// reserveNext has another owner reserve a slot for the next attempt.
	reserveNext
	// abandon gives the attempt up.
	abandon
)

// ownerAnswer is what is known from asking a silent owner.
type ownerAnswer uint8

const (
	// notAsked is the state before the owner is asked.
	notAsked ownerAnswer = iota
	// ownerSealed proves that the attempt did not run.
	ownerSealed
	// ownerDidNotSeal means that it has dispatched the attempt, or cannot tell.
	ownerDidNotSeal
	// ownerUnreachable means that nothing is known: its answer may come once the path is back.
	ownerUnreachable
	// ownerEnded means that its process has ended, so that no answer comes any more.
	ownerEnded
)

// slotSearch is the search for a slot for the next attempt.
type slotSearch uint8

const (
	// notSearched is the state before other owners are asked.
	notSearched slotSearch = iota
	// noSlot means that none of them has reserved a slot.
	noSlot
	// slotReserved means that one has.
	slotReserved
)

// silence is what is known about an attempt whose owner gives no sign of life.
type silence struct {
	// timeouts is the number of progress timeouts in a row without one.
	timeouts int
	// repeatable is set if another attempt may follow although this one may have run.
	repeatable bool
	// lastLoss is set if none may follow once this owner counts as lost as well.
	lastLoss bool
	// left is the time until the deadline.
	left   time.Duration
	answer ownerAnswer
	search slotSearch
}

// next returns what to do. An attempt is given up only if nothing is lost by it, as its backend
// server may be at work: it did not run, its answer cannot come, or the next attempt is certain.
func (s silence) next() silentStep {
	switch {
	case s.timeouts < askAfter:
		return keepWaiting
	case s.answer == notAsked:
		return askOwner
	case s.answer == ownerSealed || s.answer == ownerEnded:
		return abandon
	case !s.repeatable || s.left < minRetryTime || s.lastLoss && s.answer == ownerUnreachable:
		return keepWaiting
	case s.search == notSearched:
		return reserveNext
	case s.search == slotReserved:
		return abandon
	default:
		return keepWaiting
	}
}
