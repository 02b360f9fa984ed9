package admitter

import "time"

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
