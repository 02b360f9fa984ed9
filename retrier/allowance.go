package retrier

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Allowance is one node's part of a retry budget that a whole fleet must keep.
type Allowance struct {
	// PerRequest is the number of retries for each request of the last window.
	PerRequest float64
	// Slack is the number of retries in a window beyond that.
	Slack  float64
	Window time.Duration
	// Before is taken as spent when the node starts: an earlier process of it may have
	// spent as much.
	Before float64
	// Unreached is what a retry costs whose attempt before never arrived at a backend server.
	Unreached float64
	// Reached is what a retry costs whose attempt before arrived but did not run.
	Reached float64
	// Ran is what a retry costs whose attempt before ran or may have run for longer than
	// Nested: its nested calls may be made again as well.
	Ran    float64
	Nested time.Duration
}

// cost returns the price of a retry after a failed attempt.
func (a Allowance) cost(failed Attempt) float64 {
	switch {
	case !failed.Reached:
		return a.Unreached
	case (failed.Failed || failed.Outcome.Executed != fleet.ExecutedNo) && failed.Took >= a.Nested:
		return a.Ran
	default:
		return a.Reached
	}
}
