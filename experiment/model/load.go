package model

import (
	"math"
	"math/rand/v2"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// requestKind is one class of requests of the modelled service.
type requestKind struct {
	name   fleet.RequestKind
	median time.Duration
	weight float64
	// shifted is the weight during a shift of the mix.
	shifted float64
}

var requestKinds = []requestKind{
	{name: "lookup", median: 15 * time.Millisecond, weight: 0.7, shifted: 0.1},
	{name: "record", median: 25 * time.Millisecond, weight: 0.2, shifted: 0.2},
	{name: "upload", median: 60 * time.Millisecond, weight: 0.1, shifted: 0.7},
}

const (
	// slowKind is the index of the request kind that is slow in the scenario kind-slow.
	slowKind = 1
	// idempotentShare is the share of idempotent requests, which may run twice.
	idempotentShare = 0.8
	// With heavy tails, paretoShare of the requests take longer by a factor with a
	// Pareto distribution, up to maxParetoFactor.
	paretoShare     = 0.02
	paretoShape     = 1.5
	maxParetoFactor = 200.0
	// With heavy tails, heavySigma is the minimum sigma of service times.
	heavySigma = 1.0
	// timeFactorSigma is the standard deviation of the logarithm of the factors on
	// service times of healthy VMs.
	timeFactorSigma = 0.05
)

// drawKind returns the index of a random request kind.
func drawKind(random *rand.Rand, shifted bool) int {
	drawn := random.Float64()
	for i, kind := range requestKinds {
		weight := kind.weight
		if shifted {
			weight = kind.shifted
		}
		if drawn < weight {
			return i
		}
		drawn -= weight
	}
	return 0
}

// drawTime returns a random service time of a request on a healthy backend server.
func drawTime(random *rand.Rand, kind int, sigma float64, heavy bool) time.Duration {
	if heavy {
		sigma = max(sigma, heavySigma)
	}
	factor := math.Exp(sigma * random.NormFloat64())
	if heavy && random.Float64() < paretoShare {
		factor *= min(math.Pow(1-random.Float64(), -1/paretoShape), maxParetoFactor)
	}
	return time.Duration(float64(requestKinds[kind].median) * factor)
}
