package retrier

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Allowance is one node's part of the retry budget of the fleet.
type Allowance struct {
	// PerRequest is the number of retries allowed for each request of the last window.
	PerRequest float64
	// Slack is the number of retries allowed in a window beyond that.
	Slack  float64
	Window time.Duration
	// Before is counted as charged when the node starts: an earlier process of it may have
	// used as much.
	Before float64
	// Unreached is the cost of a retry after an attempt that reached no backend server.
	Unreached float64
	// Reached is the cost of a retry after an attempt that reached a backend server but did not run.
	Reached float64
	// Ran is the cost of a retry after an attempt that ran or may have run for at least
	// Nested: its nested calls may be repeated as well.
	Ran    float64
	Nested time.Duration
}

// retryCost returns the cost of a retry after a failed attempt.
func (a Allowance) retryCost(failed Attempt) float64 {
	switch {
	case !failed.Reached:
		return a.Unreached
	case (failed.Failed || failed.Outcome.Executed != fleet.ExecutedNo) && failed.Took >= a.Nested:
		return a.Ran
	default:
		return a.Reached
	}
}
