package admitter

import "time"

// Limit sets the limit, in requests a second, that the backend server named in an answer. It
// reports whether the limit changed.
func (a *Admitter) Limit(rate float64, now time.Time) (changed bool) { return a.pacer.Limit(rate, now) }

// Inherit sets a limit that another node was told, unless the backend server itself has shown
// since whether it names one. It reports whether the limit changed.
func (a *Admitter) Inherit(rate float64, now time.Time) (changed bool) {
	return a.pacer.Inherit(rate, now)
}

// Lift records that the backend server named no limit in an answer, and fills free slots from
// the queue. It reports whether the limit changed.
func (a *Admitter) Lift(now time.Time) (decisions []Decision, changed bool) {
	if !a.pacer.Lift() {
		return nil, false
	}
	return a.fill(now), true
}

// Rate returns the limit in requests a second. known is false if neither a limit nor its
// absence is known.
func (a *Admitter) Rate() (rate float64, limited, known bool) { return a.pacer.Rate() }

// Pause returns the time for which the limit keeps a new request waiting, at most until those
// in the queue have run; 0 if there is no limit or it allows a request now.
func (a *Admitter) Pause(now time.Time) time.Duration { return a.pacer.Wait(len(a.waiting), now) }

// Next returns the time until the limit allows the first queued request, and whether there is
// one that waits for it. Tick is to be called then.
func (a *Admitter) Next(now time.Time) (time.Duration, bool) {
	if len(a.waiting) == 0 || len(a.running) >= a.slots {
		return 0, false
	}
	return a.pacer.Wait(0, now), true
}
