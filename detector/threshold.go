package detector

import (
	"math"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// errorOffsetDetect and errorOffsetSteady are added to the evidence of failures, in
	// nats. A sum of failures leaves zero only with a failure, which is rare, so
	// it crosses a threshold by chance far less often than a sum of times.
	errorOffsetDetect = 6.8
	errorOffsetSteady = 1.2
	// minFailures is the number of failed answers below which errors do not count;
	// one less is enough when the evidence is surplusNats over the threshold.
	minFailuresDetect = 3
	minFailuresSteady = 4
	surplusNats       = 3.0
	secondsPerHour    = 3_600
	// minRate and maxRate bound the request rate in the computation of thresholds.
	minRate = 0.01
	maxRate = 1_000.0
	// minThreshold and maxThreshold bound a threshold, in nats.
	minThreshold = 5.0
	maxThreshold = 40.0
)

// Threshold is the evidence from which a backend server is degraded or ejected.
type Threshold struct {
	// Degrade and Eject are in nats.
	Degrade float64
	Eject   float64
	// Failures is the minimum number of failed answers for CauseErrors.
	Failures int
	// ErrorOffset is added to the evidence of failed answers, in nats.
	ErrorOffset float64
}

// NewThreshold returns the thresholds of a rule for a backend server that gets
// rate requests a second and has tests for a number of request kinds. A CUSUM of
// log-likelihood ratios raises a false alarm at most once in exp(threshold) samples.
func NewThreshold(rule fleet.Rule, rate float64, tests int) Threshold {
	rule = rule.WithDefaults()
	rate = min(max(rate, minRate), maxRate)
	samples := rule.FalseEjectionHours * secondsPerHour * rate * float64(max(tests, 1))
	llr := clampThreshold(math.Log(samples))
	threshold := Threshold{Degrade: llr, Eject: llr, Failures: minFailuresSteady, ErrorOffset: errorOffsetSteady}
	if rule.Lean == fleet.LeanDetect {
		threshold.Failures = minFailuresDetect
		threshold.ErrorOffset = errorOffsetDetect
	}
	return threshold
}

// WithFailures returns a copy with another minimum number of failed answers.
func (t Threshold) WithFailures(failures int) Threshold {
	t.Failures = failures
	return t
}

func clampThreshold(llr float64) float64 {
	return min(max(llr, minThreshold), maxThreshold)
}
