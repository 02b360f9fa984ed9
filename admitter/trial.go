package admitter

import (
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// admitTrial reports whether a request that would be refused by its expected service time is
// admitted as a trial request, and counts it as one.
//
// A refused kind adds no evidence, so without trial requests it would stay refused after the
// backend server has recovered. One request at a time is admitted when nothing of its kind
// runs and the estimate is older than trialInterval; a backend server that is still slow
// loses one slot to it at most.
func (a *Admitter) admitTrial(r Request, now time.Time) bool {
	if a.trial != 0 || a.runs(r) || now.Sub(a.trialAt) < trialInterval {
		return false
	}
	if a.forecaster.Age(r.Kind, now) < trialInterval {
		return false
	}
	a.trial, a.trialAt = r.ID, now
	return true
}

// endTrial allows another trial request if this one has ended or was refused.
func (a *Admitter) endTrial(id ID) {
	if id == a.trial {
		a.trial = 0
	}
}

// runs reports whether a request of the same kind runs, which will be evidence when it ends.
func (a *Admitter) runs(r Request) bool {
	for _, o := range a.running {
		if o.kind == r.Kind {
			return true
		}
	}
	return false
}

// admitsUnknownKind reports whether a stopping owner takes a request although nothing is known of its
// kind: one of a kind at a time, which may run again elsewhere and whose target is before requests are due. If
// the target has passed or there is none, its deadline has to be.
//
// Load that this answers: nodes that are stopped within a second or two of their start. A refused
// kind adds no evidence, so a backend server would be unused until its node ends.
func (a *Admitter) admitsUnknownKind(r Request, now time.Time) bool {
	if !r.Repeatable || a.forecaster.Known(r.Kind) || a.runs(r) || a.waitsBefore(r) {
		return false
	}
	wanted := r.Deadline
	if r.Target.After(now) {
		wanted = r.Target
	}
	return wanted.Before(a.stop.due)
}

// waitsBefore reports whether a request of the same kind that came before waits.
func (a *Admitter) waitsBefore(r Request) bool {
	return slices.ContainsFunc(a.waiting, func(w Request) bool { return w.Kind == r.Kind && w.ID < r.ID })
}

// refuseNoWait refuses a no-wait attempt, also one that was admitted as a trial request.
func (a *Admitter) refuseNoWait(r Request) Decision {
	a.endTrial(r.ID)
	return refusal(r.ID, fleet.ReasonBusy)
}
