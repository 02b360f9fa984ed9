package verifier

import (
	"sync"
	"time"
)

// subject is what is known of one address.
type subject struct {
	address string
	// asking is held while the address is asked; it guards witness.
	asking  sync.Mutex
	witness *witness

	mu sync.Mutex
	// answered is when the question was asked that the present witness answered last. Zero if
	// it answered none.
	answered time.Time
	// lost is the value of answered for the last witness that was cut, and found is when that
	// was found. Connections opened until lost are cut.
	lost, found time.Time
	// background is when the witness was last asked in the background.
	background time.Time
}

// recordAnswer records an answer over another connection. It refutes a cut that the connection
// would be part of. It reports whether the witness has to be asked.
func (s *subject) recordAnswer(opened, now time.Time, interval, spacing time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isCut(opened) && now.After(s.found) {
		s.lost = time.Time{}
	}
	due := s.answered.Before(opened) || now.Sub(s.answered) >= interval
	if !due || now.Sub(s.background) < spacing {
		return false
	}
	s.background = now
	return true
}

// recordWitness records an answer of the witness to a question.
func (s *subject) recordWitness(asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = asked
}

// recordCut records that the witness is cut. It reports false if the witness has never
// answered, so that nothing is known of other connections.
func (s *subject) recordCut(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered.IsZero() {
		return false
	}
	s.lost, s.found = s.answered, now
	return true
}

// cut reports whether connections opened at a time are cut.
func (s *subject) cut(opened time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isCut(opened)
}

func (s *subject) isCut(opened time.Time) bool {
	return !s.lost.IsZero() && !opened.After(s.lost)
}

// replaceWitness closes the witness and sets another, which has answered nothing yet; nil for
// none. The caller holds asking.
func (s *subject) replaceWitness(next *witness) {
	if s.witness != nil {
		_ = s.witness.close()
	}
	s.witness = next
	s.recordWitness(time.Time{})
}

// close closes the witness.
func (s *subject) close() {
	s.asking.Lock()
	defer s.asking.Unlock()
	s.replaceWitness(nil)
}
