package detector

import (
	"math"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// degradeShare is the wanted spacing of false degradations as a part of that
	// of false ejections, by lean.
	degradeShareDetect = 0.01
	degradeShareSteady = 1.0
	// leastFailures is the number of failed answers below which errors are no verdict.
	leastFailuresDetect = 3
	leastFailuresSteady = 4
	secondsPerHour      = 3_600
	// slowestRate and fastestRate bound the rate that thresholds are made for.
	slowestRate = 0.01
	fastestRate = 1_000.0
	leastNats   = 5.0
	mostVerdict = 40.0
)

// Threshold is the evidence from which a backend server is set aside.
type Threshold struct {
	// Degrade and Eject are in nats.
	Degrade float64
	Eject   float64
	// Failures is the least number of failed answers for a verdict by errors.
	Failures int
}

// NewThreshold returns the thresholds of a rule for a backend server that gets
// rate requests a second. A CUSUM of log-likelihood ratios raises a false alarm
// no more often than once in exp(threshold) samples.
func NewThreshold(rule fleet.Rule, rate float64) Threshold {
	rule = rule.WithDefaults()
	rate = min(max(rate, slowestRate), fastestRate)
	samples := rule.FalseEjectionHours * secondsPerHour * rate
	share, failures := degradeShareSteady, leastFailuresSteady
	if rule.Lean == fleet.LeanDetect {
		share, failures = degradeShareDetect, leastFailuresDetect
	}
	return Threshold{
		Degrade:  bounded(math.Log(samples * share)),
		Eject:    bounded(math.Log(samples)),
		Failures: failures,
	}
}

func bounded(nats float64) float64 {
	return min(max(nats, leastNats), mostVerdict)
}
