package balancer

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// load is the load of one backend server.
type load struct {
	// inFlight is the number of this node's attempts.
	inFlight int
	report   fleet.Load
	// failed is the number of failed attempts, which count until failedUntil.
	failed      int
	failedUntil time.Time
	// starting is true as long as the backend server is in the starting state.
	starting bool
	// slowStartEnd is the end of the slow start.
	slowStartEnd time.Time
	// limitedPick is the number of picks of the service at the last limited pick.
	limitedPick uint64
	limited     bool
}

// end removes one attempt in flight.
func (l *load) end() {
	if l.inFlight > 0 {
		l.inFlight--
	}
}

// fail keeps a failed attempt in the count for failurePenalty.
func (l *load) fail(now time.Time) {
	if now.After(l.failedUntil) {
		l.failed = 0
	}
	l.failed++
	l.failedUntil = now.Add(failurePenalty)
}

// store stores a load report. An owner that does not know the limit, such as one that was
// restarted, does not revoke what was reported before.
func (l *load) store(report fleet.Load) {
	if report.Limit == "" {
		report.Limit = l.report.Limit
	}
	l.report = report
}

// ratio returns the requests in flight for each slot. While its limit keeps new requests
// waiting, a backend server has no capacity, and its load grows with the wait.
func (l *load) ratio(slots int, now time.Time) float64 {
	ratio := l.busyRatio(slots, now)
	if pause := l.report.At.Add(l.report.Pause).Sub(now); pause > 0 {
		return max(ratio, fullLoad+pause.Seconds()/pauseUnit.Seconds())
	}
	return ratio
}

// busyRatio returns the requests in flight for each slot, whatever the limit.
func (l *load) busyRatio(slots int, now time.Time) float64 {
	busy := l.inFlight
	if now.Sub(l.report.At) < staleAfter {
		busy = max(busy, l.report.InFlight+l.report.Queued)
	}
	if now.Before(l.failedUntil) {
		busy += l.failed
	}
	return float64(busy) / float64(max(slots, 1))
}

// slowStartShare returns the share that the slow start allows, and records its beginning.
func (l *load) slowStartShare(state fleet.BackendState, now time.Time) float64 {
	if state == fleet.BackendStarting {
		l.starting = true
		return minSlowStartShare
	}
	if l.starting {
		l.starting = false
		l.slowStartEnd = now.Add(slowStartTime)
	}
	if !now.Before(l.slowStartEnd) {
		return 1
	}
	passed := 1 - l.slowStartEnd.Sub(now).Seconds()/slowStartTime.Seconds()
	return max(passed, minSlowStartShare)
}
