package forwarder

// askAfter is the number of progress timeouts without a sign of life, 0.7 s, after which an owner
// is asked about an attempt.
const askAfter = 2

// silentStep is what follows from the silence of an owner.
type silentStep uint8

const (
	// keepWaiting waits for the answer, and for the next progress timeout.
	keepWaiting silentStep = iota
	// askOwner asks the owner to seal the attempt.
	askOwner
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
	// ownerRefused means that the attempt may run at present.
	ownerRefused
	// ownerUnreachable means that nothing is known: its answer may come once the path is back.
	ownerUnreachable
	// ownerEnded means that its process has ended, so that no answer comes any more.
	ownerEnded
)

// silence is what is known about an attempt whose owner gives no sign of life.
type silence struct {
	// timeouts is the number of progress timeouts in a row without one.
	timeouts int
	// repeatable is set if another attempt may follow although this one may have run.
	repeatable bool
	answer     ownerAnswer
}

// next returns what to do. An attempt after which none may follow is given up only if nothing is
// lost by it: its backend server may be at work.
func (s silence) next() silentStep {
	switch {
	case s.timeouts < askAfter:
		return keepWaiting
	case s.repeatable:
		return abandon
	case s.answer == notAsked:
		return askOwner
	case s.answer == ownerSealed || s.answer == ownerEnded:
		return abandon
	default:
		return keepWaiting
	}
}
