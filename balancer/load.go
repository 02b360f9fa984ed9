package balancer

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// load is what is known of one backend server's work.
type load struct {
	own    int
	report fleet.Load
	// failed is the number of failed attempts that still count, forgotten from until on.
	failed int
	until  time.Time
	// starting is true as long as the backend server says that it starts.
	starting bool
	// warm is the end of the slow start.
	warm time.Time
	// trickled is the number of picks of the service at the last limited pick.
	trickled uint64
	limited  bool
}

// end takes one attempt off.
func (l *load) end() {
	if l.own > 0 {
		l.own--
	}
}

// fail keeps a failed attempt in the count for a while.
func (l *load) fail(now time.Time) {
	if now.After(l.until) {
		l.failed = 0
	}
	l.failed++
	l.until = now.Add(failurePenalty)
}

// ratio returns the requests in flight by slot.
func (l *load) ratio(slots int, now time.Time) float64 {
	busy := l.own
	if now.Sub(l.report.At) < staleAfter {
		busy = max(busy, l.report.InFlight+l.report.Queued)
	}
	if now.Before(l.until) {
		busy += l.failed
	}
	return float64(busy) / float64(max(slots, 1))
}

// warming returns the share that a slow start allows, and notes its begin.
func (l *load) warming(state fleet.BackendState, now time.Time) float64 {
	if state == fleet.BackendStarting {
		l.starting = true
		return leastWarm
	}
	if l.starting {
		l.starting = false
		l.warm = now.Add(warmTime)
	}
	if !now.Before(l.warm) {
		return 1
	}
	passed := 1 - l.warm.Sub(now).Seconds()/warmTime.Seconds()
	return max(passed, leastWarm)
}
