package baseline

import (
	"maps"
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// sampleWeight is the weight of a new result in the moving averages.
	sampleWeight = 0.1
	// slowFactor is the ratio of a backend server's average time to that of the
	// others above which it is ejected.
	slowFactor = 3.0
	// maxErrorRate is the error rate above which a backend server is ejected.
	maxErrorRate = 0.2
	// minSamples is the number of results before a backend server is evaluated.
	minSamples = 10
)

// average holds the moving averages of one backend server.
type average struct {
	seconds float64
	errors  float64
	// seen is the number of results.
	seen int
}

// Average ejects backend servers whose moving average of time or errors is far
// above the service's.
type Average struct {
	detector
	averages map[fleet.BackendID]*average
}

// NewAverage returns an Average that uses the clock.
func NewAverage(clock Clock) *Average {
	return &Average{detector: newDetector(clock), averages: map[fleet.BackendID]*average{}}
}

// Observe records a result and ejects the backend server if it exceeds a limit.
func (a *Average) Observe(s fleet.Sample) {
	if s.Class == fleet.ClassRefused {
		return
	}
	a.seen[s.Backend] = true
	m, found := a.averages[s.Backend]
	if !found {
		m = &average{}
		a.averages[s.Backend] = m
	}
	failure := 0.0
	if failed(s.Class) {
		failure = 1
	}
	m.errors += sampleWeight * (failure - m.errors)
	m.seconds += sampleWeight * (max(s.ServiceTime, s.PathTime).Seconds() - m.seconds)
	m.seen++
	if m.seen < minSamples {
		return
	}
	if m.errors > maxErrorRate || m.seconds > slowFactor*a.meanOfOthers(s.Backend) {
		a.eject(s.Backend, s.At, "average")
		*m = average{}
	}
}

// meanOfOthers returns the mean of the other backend servers' average times in
// seconds, or 1 if there are none to compare with.
func (a *Average) meanOfOthers(id fleet.BackendID) float64 {
	sum, count := 0.0, 0.0
	for _, other := range sortedKeys(a.averages) {
		if other != id && a.averages[other].seen >= minSamples {
			sum += a.averages[other].seconds
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
