package expirer

import "time"

// history is what is known of the idle connections to one address.
type history struct {
	// tried is when a request was last sent that others of the same moment wait for.
	tried time.Time
	// lasted is the longest idle time that was followed by an answer since the last reset, and
	// reset the shortest that was followed by a reset.
	lasted, reset time.Duration
	// limit is the idle time from which connections are expired until a time.
	limit time.Duration
	until time.Time
	// hold is for how long the last reset counts; 0 if there was none or it was refuted.
	hold time.Duration
}

func (h *history) isExpired(idle time.Duration, now time.Time) bool {
	return now.Before(h.until) && idle >= h.limit
}

// recordAnswer records an answer. One over an expired connection was sent before the reset, and
// does not refute it.
func (h *history) recordAnswer(idle time.Duration, now time.Time) {
	if h.isExpired(idle, now) {
		return
	}
	h.lasted = max(h.lasted, idle)
	if idle >= h.reset {
		h.hold = 0
	}
}

// recordReset records a reset.
func (h *history) recordReset(idle time.Duration, now time.Time) {
	if h.lasted >= idle {
		h.lasted = 0 // connections last less long than before
	}
	limit := max(minIdle, min(h.lasted, idle-idle/marginDivisor))
	if now.Before(h.until) { // of the same moment, or the limit was too high
		h.reset, h.limit = min(h.reset, idle), min(h.limit, limit)
		return
	}
	if now.Sub(h.until) > maxHold {
		h.hold = 0
	}
	h.reset, h.limit = idle, limit
	h.hold = min(max(minHold, 2*h.hold), maxHold)
	h.until = now.Add(h.hold)
}
