package baseline

import "cowsliptally.example/cowsliptally/fleet"

// maxFailures is the number of consecutive failures at which a backend server is
// ejected.
const maxFailures = 5

// Consecutive ejects a backend server after a number of consecutive failures.
type Consecutive struct {
	detector
	failures map[fleet.BackendID]int
}

// NewConsecutive returns a Consecutive that uses the clock.
func NewConsecutive(clock Clock) *Consecutive {
	return &Consecutive{detector: newDetector(clock), failures: map[fleet.BackendID]int{}}
}

// Observe records a result and ejects the backend server at maxFailures.
func (c *Consecutive) Observe(s fleet.Sample) {
	if s.Class == fleet.ClassRefused {
		return
	}
	c.seen[s.Backend] = true
	if !failed(s.Class) {
		c.failures[s.Backend] = 0
		return
	}
	c.failures[s.Backend]++
	if c.failures[s.Backend] >= maxFailures {
		c.failures[s.Backend] = 0
		c.eject(s.Backend, s.At, "consecutive")
	}
}
