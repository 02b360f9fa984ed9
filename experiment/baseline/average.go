package baseline

import (
	"maps"
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// newWeight is the weight of a new result in the averages.
	newWeight = 0.1
	// slowFactor is the ratio to the service's average time that ejects.
	slowFactor = 3.0
	// errorLimit is the error rate that ejects.
	errorLimit = 0.2
	// leastSeen is the number of results before a verdict.
	leastSeen = 10
)

// mean is the moving averages of one backend server.
type mean struct {
	seconds float64
	errors  float64
	seen    int
}

// Average ejects those whose moving average of time or errors is far over the
// service's.
type Average struct {
	outlier
	means map[fleet.BackendID]*mean
}

// NewAverage returns the rule.
func NewAverage(clock Clock) *Average {
	return &Average{outlier: newOutlier(clock), means: map[fleet.BackendID]*mean{}}
}

// Observe takes in a result.
func (a *Average) Observe(s fleet.Sample) {
	if s.Class == fleet.ClassRefused {
		return
	}
	a.seen[s.Backend] = true
	m, found := a.means[s.Backend]
	if !found {
		m = &mean{}
		a.means[s.Backend] = m
	}
	failure := 0.0
	if failed(s.Class) {
		failure = 1
	}
	m.errors += newWeight * (failure - m.errors)
	m.seconds += newWeight * (max(s.ServiceTime, s.PathTime).Seconds() - m.seconds)
	m.seen++
	if m.seen < leastSeen {
		return
	}
	if m.errors > errorLimit || m.seconds > slowFactor*a.others(s.Backend) {
		a.eject(s.Backend, s.At, "average")
		*m = mean{}
	}
}

// others returns the mean of the other backend servers' average times.
func (a *Average) others(id fleet.BackendID) float64 {
	sum, count := 0.0, 0.0
	for _, other := range sortedKeys(a.means) {
		if other != id && a.means[other].seen >= leastSeen {
			sum += a.means[other].seconds
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / count
}

func sortedKeys[V any](entries map[fleet.BackendID]V) []fleet.BackendID {
	return slices.Sorted(maps.Keys(entries))
}
