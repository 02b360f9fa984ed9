package arbiter

import "time"

// WithHedgeFrom returns a copy that is hedged from a time on, once it has been at work for some time; it never is if at
// is zero.
func (a Attempt) WithHedgeFrom(at time.Time, age time.Duration) Attempt {
	a.hedgeFrom, a.hedgeAge = at, age
	return a
}

// WithHedge returns a copy beside which another attempt was made. That one takes its place if it fails, so it is
// given up for no third one.
func (a Attempt) WithHedge() Attempt {
	a.hedged, a.repeatable = true, false
	a.search = NotSearched
	return a
}

// WithHedgeFailed returns a copy whose hedge has failed, so that it may be hedged or given up for another attempt again.
func (a Attempt) WithHedgeFailed() Attempt {
	a.hedged = false
	return a
}

// mustHedge reports whether another attempt is due beside this one. One that waits for a slot is at no backend
// server, and a request that has lost an owner may kill two more at once.
func (a Attempt) mustHedge(now time.Time) bool {
	if a.hedgeFrom.IsZero() || now.Before(a.hedgeFrom) || a.waiting || a.taken(now) < a.hedgeAge {
		return false
	}
	return !a.lastLoss && a.mayFollow(now)
}

func (a Attempt) nextInHedge() Step {
	if a.search == NoSlot {
		return Wait
	}
	return Hedge
}
