package detector

import (
	"math"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// creditDetect and creditSteady are added to the evidence of failures, in
	// nats. A sum of failures leaves zero only with a failure, which is rare, so
	// it crosses a threshold by chance far less often than a sum of times.
	creditDetect = 6.8
	creditSteady = 1.2
	// leastFailures is the number of failed answers below which errors are no
	// verdict; one less is enough for evidence of surplus nats over the threshold.
	leastFailuresDetect = 3
	leastFailuresSteady = 4
	surplus             = 3.0
	secondsPerHour      = 3_600
	// slowestRate and fastestRate bound the rate that thresholds are made for.
	slowestRate = 0.01
	fastestRate = 1_000.0
	// leastNats and mostVerdict bound a threshold.
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
	// Credit is added to the evidence of failed answers.
	Credit float64
}

// NewThreshold returns the thresholds of a rule for a backend server that gets
// rate requests a second and has tests for a number of request kinds. A CUSUM of log-likelihood ratios raises a false alarm
// no more often than once in exp(threshold) samples.
func NewThreshold(rule fleet.Rule, rate float64, tests int) Threshold {
	rule = rule.WithDefaults()
	rate = min(max(rate, slowestRate), fastestRate)
	samples := rule.FalseEjectionHours * secondsPerHour * rate * float64(max(tests, 1))
	nats := bounded(math.Log(samples))
	threshold := Threshold{Degrade: nats, Eject: nats, Failures: leastFailuresSteady, Credit: creditSteady}
	if rule.Lean == fleet.LeanDetect {
		threshold.Failures = leastFailuresDetect
		threshold.Credit = creditDetect
	}
	return threshold
}

// WithFailures returns a copy with another least number of failed answers.
func (t Threshold) WithFailures(failures int) Threshold {
	t.Failures = failures
	return t
}

func bounded(nats float64) float64 {
	return min(max(nats, leastNats), mostVerdict)
}
