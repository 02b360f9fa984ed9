package baseline

import (
	"math"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// window is the time over which success rates are counted.
	window = 10 * time.Second
	// leastHosts and leastResults are needed for a comparison.
	leastHosts   = 5
	leastResults = 50
	// deviations is the distance from the mean that ejects.
	deviations = 1.9
)

// count is the results of one window.
type count struct {
	results int
	failed  int
}

// Deviation ejects those whose success rate in a window is a number of standard
// deviations under the mean.
type Deviation struct {
	outlier
	counts map[fleet.BackendID]count
	began  time.Time
}

// NewDeviation returns the rule.
func NewDeviation(clock Clock) *Deviation {
	return &Deviation{outlier: newOutlier(clock), counts: map[fleet.BackendID]count{}}
}

// Observe takes in a result.
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

// Tick judges at the end of a window.
func (d *Deviation) Tick(now time.Time) []fleet.Event {
	if now.Sub(d.began) >= window {
		d.judge(now)
		d.began = now
		clear(d.counts)
	}
	return d.outlier.Tick(now)
}

func (d *Deviation) judge(now time.Time) {
	sum, squares, hosts := 0.0, 0.0, 0.0
	for _, id := range sortedKeys(d.counts) {
		c := d.counts[id]
		if c.results < leastResults {
			continue
		}
		rate := c.success()
		sum += rate
		squares += rate * rate
		hosts++
	}
	if hosts < leastHosts {
		return
	}
	mean := sum / hosts
	spread := math.Sqrt(max(squares/hosts-mean*mean, 0))
	for _, id := range sortedKeys(d.counts) {
		c := d.counts[id]
		if c.results >= leastResults && c.success() < mean-deviations*spread {
			d.eject(id, now, "deviation")
		}
	}
}

func (c count) success() float64 {
	return 1 - float64(c.failed)/float64(c.results)
}
