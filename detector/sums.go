package detector

import "math"

const (
	// driftWeight is the weight of a new sample in the running mean of normal scores.
	driftWeight = 0.25
	// failWeight is the weight of a new result in the running error rate.
	failWeight = 0.15
	// mostNats bounds a sum, so that recovery does not take for ever.
	mostNats = 60.0
)

// sums is the evidence against one backend server for one request kind.
type sums struct {
	slow  float32
	path  float32
	gross float32
	faint float32
	stuck float32
	// drift and pathDrift are running means of normal scores.
	drift     float32
	pathDrift float32
	// failing is the running error rate.
	failing  float32
	failures uint8
	// excursion counts the failed answers that the usual rate does not hold yet.
	excursion uint8
}

func add(sum float32, nats float64) float32 {
	return float32(min(max(float64(sum)+nats, 0), mostNats))
}

// addResult adds the evidence of a failed or whole answer.
func (s *sums) addResult(failed bool, gross, faint float64) {
	s.gross = add(s.gross, gross)
	s.faint = add(s.faint, faint)
	if failed && s.failures < math.MaxUint8 {
		s.failures++
	}
	if s.gross == 0 && s.faint == 0 {
		s.failures = 0
	}
}

// settle returns the failed answers to count into the usual rate: those of an
// excursion that ended without a verdict, or each at once.
func (s *sums) settle(failed, atOnce bool) int {
	if failed && s.excursion < math.MaxUint8 {
		s.excursion++
	}
	if s.failures > 0 && !atOnce {
		return 0
	}
	settled := int(s.excursion)
	s.excursion = 0
	return settled
}

// addFailing moves the running error rate.
func (s *sums) addFailing(failed bool) {
	value := float32(0)
	if failed {
		value = 1
	}
	s.failing += failWeight * (value - s.failing)
}

// top returns the greatest sum and its cause.
func (s *sums) top(t Threshold) (nats float64, cause Cause) {
	nats, cause = float64(s.slow), CauseSlow
	if float64(s.path) > nats {
		nats, cause = float64(s.path), CausePath
	}
	if errors := s.errors(t); errors > nats {
		nats, cause = errors, CauseErrors
	}
	return nats, cause
}

// errors returns the evidence of failed answers, or 0 when they are too few.
func (s *sums) errors(t Threshold) float64 {
	nats := float64(max(s.gross, s.faint)) + t.Credit
	switch {
	case s.failures == 0:
		return 0
	case int(s.failures) >= t.Failures:
		return nats
	case int(s.failures) == t.Failures-1 && nats >= t.Degrade+surplus:
		return nats
	default:
		return 0
	}
}

// suspect reports whether the samples should stay out of the reference.
func (s *sums) suspect() bool {
	return max(s.slow, s.path, s.gross, s.faint) > suspectNats
}
