package baseline

import (
	"math"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// window is the time over which success rates are counted.
	window = 10 * time.Second
	// minHosts is the number of backend servers that a comparison needs, minResults
	// the number of results that a backend server needs to be compared.
	minHosts   = 5
	minResults = 50
	// deviationFactor is the distance below the mean success rate, in standard
	// deviations, at which a backend server is ejected.
	deviationFactor = 1.9
)

// count holds the number of results in one window.
type count struct {
	results int
	failed  int
}

// Deviation ejects backend servers whose success rate in a window is a number of
// standard deviations below the mean.
type Deviation struct {
	detector
	counts      map[fleet.BackendID]count
	windowStart time.Time
}

// NewDeviation returns a Deviation that uses the clock.
func NewDeviation(clock Clock) *Deviation {
	return &Deviation{detector: newDetector(clock), counts: map[fleet.BackendID]count{}}
}

// Observe counts a result in the current window.
func (d *Deviation) Observe(s fleet.Sample) {
	if s.Class == fleet.ClassRefused {
		return
	}
	d.seen[s.Backend] = true
	c := d.counts[s.Backend]
	c.results++
	if failed(s.Class) {
		c.failed++
	}
	d.counts[s.Backend] = c
}

// Tick evaluates all backend servers at the end of a window, ends expired
// ejections and returns the new events.
func (d *Deviation) Tick(now time.Time) []fleet.Event {
	if now.Sub(d.windowStart) >= window {
		d.evaluate(now)
		d.windowStart = now
		clear(d.counts)
	}
	return d.detector.Tick(now)
}

// evaluate ejects the backend servers with an outlying success rate.
func (d *Deviation) evaluate(now time.Time) {
	sum, squares, hosts := 0.0, 0.0, 0.0
	for _, id := range sortedKeys(d.counts) {
		c := d.counts[id]
		if c.results < minResults {
			continue
		}
		rate := c.success()
		sum += rate
		squares += rate * rate
		hosts++
	}
	if hosts < minHosts {
		return
	}
	mean := sum / hosts
	deviation := math.Sqrt(max(squares/hosts-mean*mean, 0))
	for _, id := range sortedKeys(d.counts) {
		c := d.counts[id]
		if c.results >= minResults && c.success() < mean-deviationFactor*deviation {
			d.eject(id, now, "deviation")
		}
	}
}

// success returns the success rate.
func (c count) success() float64 {
	return 1 - float64(c.failed)/float64(c.results)
}
