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
func (s *history) recordEjection(now time.Time) {
	if !s.began.IsZero() {
		return
	}
	s.began = now
	length := s.length * 2
	for healthy := now.Sub(s.ended); healthy >= healthyTime && length > firstEjection; healthy -= healthyTime {
		length /= 2
	}
	s.length = min(max(length, firstEjection), longestEjection)
}

// recordReturn records that an ejection ended.
func (s *history) recordReturn(now time.Time) {
	if s.began.IsZero() {
		return
	}
	s.began = time.Time{}
	s.ended = now
}

// isOver reports whether the ejection lasted long enough.
func (s *history) isOver(now time.Time, extra time.Duration) bool {
	return !s.began.IsZero() && now.Sub(s.began) >= s.length+extra
}

// mayPropose reports whether another record may be appended.
func (s *history) mayPropose(now time.Time) bool {
	return s.proposed.IsZero() || now.Sub(s.proposed) >= proposalPause
}
