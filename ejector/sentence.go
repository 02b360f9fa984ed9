package ejector

import "time"

const (
	// firstEjection is the length of a first ejection.
	firstEjection = 30 * time.Second
	// longestEjection bounds the length of repeated ones.
	longestEjection = 10 * time.Minute
	// goodTime is the time since the last return after which the next ejection
	// is half as long as it would be.
	goodTime = 5 * time.Minute
	// proposalPause is the least time between two records about one backend server.
	proposalPause = 5 * time.Second
	// deputyDelay is how long a deputy leaves a matter to the owner.
	deputyDelay = 2 * time.Second
)

// sentence is what a node remembers of one backend server's ejections.
type sentence struct {
	// began is when this node first saw the ejection; zero while there is none.
	began time.Time
	// ended is when the last one was taken back.
	ended    time.Time
	length   time.Duration
	proposed time.Time
	// guilty is since when the testimony has been enough; zero while it is not.
	guilty time.Time
}

// begin notes an ejection; it is twice as long as the last one, and halved for
// each good time in between.
func (s *sentence) begin(now time.Time) {
	if !s.began.IsZero() {
		return
	}
	s.began = now
	length := s.length * 2
	for good := now.Sub(s.ended); good >= goodTime && length > firstEjection; good -= goodTime {
		length /= 2
	}
	s.length = min(max(length, firstEjection), longestEjection)
}

// end notes that an ejection was taken back.
func (s *sentence) end(now time.Time) {
	if s.began.IsZero() {
		return
	}
	s.began = time.Time{}
	s.ended = now
}

// served reports whether the ejection lasted long enough.
func (s *sentence) served(now time.Time, extra time.Duration) bool {
	return !s.began.IsZero() && now.Sub(s.began) >= s.length+extra
}

// mayPropose reports whether another record may be appended.
func (s *sentence) mayPropose(now time.Time) bool {
	return s.proposed.IsZero() || now.Sub(s.proposed) >= proposalPause
}
