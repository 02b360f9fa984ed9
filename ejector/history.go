package ejector

import "time"

const (
	// firstEjection is the length of a first ejection.
	firstEjection = 30 * time.Second
	// longestEjection bounds the length of repeated ejections.
	longestEjection = 10 * time.Minute
	// healthyTime is the time since the last return after which the next ejection
	// is half as long as it would be.
	healthyTime = 5 * time.Minute
	// proposalPause is the minimum time between two records about one backend server.
	proposalPause = 5 * time.Second
	// backupDelay is how long the backup node waits for the owner to propose.
	backupDelay = 2 * time.Second
)

// history is a node's record of one backend server's ejections.
type history struct {
	// began is when this node first saw the current ejection; zero while there is none.
	began time.Time
	// ended is when the last ejection ended.
	ended    time.Time
	length   time.Duration
	proposed time.Time
	// sufficientSince is the time since which the evidence has been sufficient; zero
	// while it is not.
	sufficientSince time.Time
}

// recordEjection records an ejection; it is twice as long as the last one, and halved
// for each healthyTime in between.
func (h *history) recordEjection(now time.Time) {
	if !h.began.IsZero() {
		return
	}
	h.began = now
	length := h.length * 2
	for healthy := now.Sub(h.ended); healthy >= healthyTime && length > firstEjection; healthy -= healthyTime {
		length /= 2
	}
	h.length = min(max(length, firstEjection), longestEjection)
}

// recordReturn records that an ejection ended.
func (h *history) recordReturn(now time.Time) {
	if h.began.IsZero() {
		return
	}
	h.began = time.Time{}
	h.ended = now
}

// isOver reports whether the ejection lasted long enough.
func (h *history) isOver(now time.Time, extra time.Duration) bool {
	return !h.began.IsZero() && now.Sub(h.began) >= h.length+extra
}

// mayPropose reports whether another record may be appended.
func (h *history) mayPropose(now time.Time) bool {
	return h.proposed.IsZero() || now.Sub(h.proposed) >= proposalPause
}
