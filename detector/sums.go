package detector

import "math"

const (
	// meanWeight is the weight of a new sample in the moving average of normal scores.
	meanWeight = 0.25
	// errorRateWeight is the weight of a new result in the moving average of the error rate.
	errorRateWeight = 0.15
	// maxNats bounds a sum, so that recovery takes a limited time.
	maxNats = 60.0
)

// sums is the evidence against one backend server for one request kind.
type sums struct {
	slow       float32
	path       float32
	highErrors float32
	lowErrors  float32
	stuck      float32
	// meanScore and meanPathScore are moving averages of normal scores.
	meanScore     float32
	meanPathScore float32
	// errorRate is the moving average of the error rate.
	errorRate float32
	failures  uint8
	// uncounted is the number of failed answers not yet counted in the usual error rate.
	uncounted uint8
}

func add(sum float32, llr float64) float32 {
	return float32(min(max(float64(sum)+llr, 0), maxNats))
}

// addResult adds the evidence of a failed or complete answer.
func (s *sums) addResult(failed bool, highErrors, lowErrors float64) {
	s.highErrors = add(s.highErrors, highErrors)
	s.lowErrors = add(s.lowErrors, lowErrors)
	if failed && s.failures < math.MaxUint8 {
		s.failures++
	}
	if s.highErrors == 0 && s.lowErrors == 0 {
		s.failures = 0
	}
}

// countFailures returns the number of failed answers to add to the usual error rate:
// those of a rise of the sums that fell back to zero, or each one at once.
func (s *sums) countFailures(failed, atOnce bool) int {
	if failed && s.uncounted < math.MaxUint8 {
		s.uncounted++
	}
	if s.failures > 0 && !atOnce {
		return 0
	}
	count := int(s.uncounted)
	s.uncounted = 0
	return count
}

// updateErrorRate updates the moving average of the error rate.
func (s *sums) updateErrorRate(failed bool) {
	value := float32(0)
	if failed {
		value = 1
	}
	s.errorRate += errorRateWeight * (value - s.errorRate)
}

// strongest returns the largest sum and its cause.
func (s *sums) strongest(t Threshold) (llr float64, cause Cause) {
	llr, cause = float64(s.slow), CauseSlow
	if float64(s.path) > llr {
		llr, cause = float64(s.path), CausePath
	}
	if errors := s.errors(t); errors > llr {
		llr, cause = errors, CauseErrors
	}
	return llr, cause
}

// errors returns the evidence of failed answers, or 0 when there are too few.
func (s *sums) errors(t Threshold) float64 {
	llr := float64(max(s.highErrors, s.lowErrors)) + t.ErrorOffset
	switch {
	case s.failures == 0:
		return 0
	case int(s.failures) >= t.Failures:
		return llr
	case int(s.failures) == t.Failures-1 && llr >= t.Degrade+surplusNats:
		return llr
	default:
		return 0
	}
}

// suspect reports whether the samples must be left out of the reference.
func (s *sums) suspect() bool {
	return max(s.slow, s.path, s.highErrors, s.lowErrors) > suspectNats
}
