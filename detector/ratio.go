package detector

import "math"

const (
	minShift = 0.5
	maxShift = 2.0
	// ordinaryTimeNats is the evidence of a time that is long by rank but not by ratio, in nats.
	ordinaryTimeNats = -0.05
)

// slowRatio returns the log-likelihood ratio of a time with normal score z for
// a backend server whose scores are shifted by shift, in nats.
func slowRatio(z, shift float64) float64 {
	return shift*z - shift*shift/2
}

// pendingRatio returns the log-likelihood ratio of a time that is at least
// the one with normal score z, in nats.
func pendingRatio(z, shift float64) float64 {
	return math.Log(math.Erfc((z-shift)/math.Sqrt2) / math.Erfc(z/math.Sqrt2))
}

// stuckRate is the share of requests that a stuck backend server never answers.
const stuckRate = 0.98

// stuckRatio returns the log-likelihood ratio of a time that is at least the
// one with normal score z for a stuck backend server, in nats.
func stuckRatio(z float64) float64 {
	longer := math.Erfc(z/math.Sqrt2) / 2
	return math.Log(1 - stuckRate + stuckRate/longer)
}

// answeredRatio is the log-likelihood ratio of an answer for a stuck backend
// server, in nats.
var answeredRatio = math.Log(1 - stuckRate)

// errorRatio returns the log-likelihood ratio of a result for a backend server
// that fails with rate bad in a service that fails with rate usual, in nats.
func errorRatio(failed bool, usual, bad float64) float64 {
	if failed {
		return math.Log(bad / usual)
	}
	return math.Log((1 - bad) / (1 - usual))
}
