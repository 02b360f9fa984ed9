package admitter

import (
	"time"

	"cowsliptally.example/cowsliptally/arbiter"
	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// longestMargin is the multiple of the longest service time that must be left for any
	// request: the slowest of some hundred requests is not the slowest of all.
	longestMargin = 1.25
	// expectedMargin is the multiple of the expected service time that must be left for a
	// repeatable request. Of kinds with a long tail, about one request in thirty takes longer.
	expectedMargin = 3
)

// stop is the state of an admitter whose node stops.
//
// Load that it answers: many nodes that stop within seconds, each of which waits seconds for its
// callers to move and for long requests. A backend server that got nothing all that time would
// be missed, and one that got everything would run requests that are cut when its node ends.
type stop struct {
	// due is when requests have to be done; zero while the node does not stop.
	due time.Time
	// end is when the node ends those that are not.
	end time.Time
	// retired is set once only one request at a time is admitted.
	retired bool
	// single is the last of these requests; 0 if it has ended.
	single ID
}

// Stop tells that the node stops: requests have to be done when they are due, and those that are not run
// until the node ends. From now on, only requests are admitted that end before the node does, by their deadline or by the
// end of their ingress, or that have time left for the longest of their kind or, if they may run again elsewhere, for
// several times the usual or until their target. Queued ones that have
// not are refused, so that they can go elsewhere.
func (a *Admitter) Stop(due, end, now time.Time) []Decision {
	a.stop.due, a.stop.end = due, end
	return a.expire(now)
}

// Retire admits one such request at a time from now on, so that the node can end once the others
// have. One that takes several times the usual keeps the node from ending anyway, so the next is admitted
// beside it. It refuses all queued requests.
func (a *Admitter) Retire(now time.Time) []Decision {
	a.stop.retired = true
	return a.expire(now)
}

// mustLeave reports whether a request must go elsewhere because the node stops. The end of the node is no reason if the
// request ends before it anyway. Once only one request at a time is admitted, it is one all the same: a long request would
// keep the short ones out.
func (a *Admitter) mustLeave(r Request, now time.Time) bool {
	if a.stop.due.IsZero() {
		return false
	}
	if a.stop.retired && a.isSingleAtWork(now) {
		return true
	}
	if !a.stop.retired && !r.ends().After(a.stop.end) {
		return false
	}
	return !a.hasTimeForLongest(r, now) && !a.hasTimeForUsual(r, now) && !a.admitsUnknownKind(r, now)
}

// isBetterElsewhere reports whether a request that may run again would have too little time for that if the end of the
// node cut it. Another owner with a free slot is to run it; if there is none, most still end here in time.
func (a *Admitter) isBetterElsewhere(r Request, now time.Time) bool {
	if a.stop.due.IsZero() || !r.Repeatable || !r.NoWait {
		return false
	}
	return !arbiter.New(now, r.ends()).WithRepeatable(false).WithNodeEnd(a.stop.end).IsWorthBeginning()
}

// hasTimeForLongest reports whether a request has time left for the longest of its kind.
func (a *Admitter) hasTimeForLongest(r Request, now time.Time) bool {
	longest, known := a.forecaster.Longest(r.Kind, now)
	return known && now.Add(time.Duration(longestMargin*float64(longest))).Before(a.stop.due)
}

// hasTimeForUsual reports whether a request may run again elsewhere, and has time left for
// several times the usual of its kind.
func (a *Admitter) hasTimeForUsual(r Request, now time.Time) bool {
	expected := a.Expected(r.Kind, now)
	return r.Repeatable && expected > 0 && now.Add(expectedMargin*expected).Before(a.stop.due)
}

// arriveSingle gives a slot to the only request that is admitted at a time, or refuses it.
func (a *Admitter) arriveSingle(r Request, now time.Time) Decision {
	if len(a.waiting) > 0 || !a.take(now) {
		return refusal(r.ID, fleet.ReasonDraining)
	}
	a.stop.single = r.ID
	return a.run(r, now)
}

// isSingleAtWork reports whether the last request that was admitted as the only one is at work, and has not yet taken
// several times the usual of its kind.
func (a *Admitter) isSingleAtWork(now time.Time) bool {
	o, running := a.running[a.stop.single]
	if !running {
		return false
	}
	expected := a.Expected(o.kind, now)
	return expected == 0 || now.Sub(o.since) < expectedMargin*expected
}

// endSingle allows the next one if this one has ended.
func (a *Admitter) endSingle(id ID) {
	if id == a.stop.single {
		a.stop.single = 0
	}
}
