package baseline

import "cowsliptally.example/cowsliptally/fleet"

// failuresInRow is the number of failures in a row that ejects.
const failuresInRow = 5

// Consecutive ejects after a number of failures in a row.
type Consecutive struct {
	outlier
	row map[fleet.BackendID]int
}

// NewConsecutive returns the rule.
func NewConsecutive(clock Clock) *Consecutive {
	return &Consecutive{outlier: newOutlier(clock), row: map[fleet.BackendID]int{}}
}

// Observe takes in a result.
func (c *Consecutive) Observe(s fleet.Sample) {
	if s.Class == fleet.ClassRefused {
		return
	}
	c.seen[s.Backend] = true
	if !failed(s.Class) {
		c.row[s.Backend] = 0
		return
	}
	c.row[s.Backend]++
	if c.row[s.Backend] >= failuresInRow {
		c.row[s.Backend] = 0
		c.eject(s.Backend, s.At, "consecutive")
	}
}
