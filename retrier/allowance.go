package retrier

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Allowance is one node's part of the retry budget of the fleet.
type Allowance struct {
	// RetriesPerRequest is the number of retries allowed for each request of the last window.
	RetriesPerRequest float64
	// Slack is the number of retries allowed in a window beyond that.
	Slack  float64
	Window time.Duration
	// InitialCharge is counted as charged when the node starts: an earlier process of it may have
	// used as much.
	InitialCharge float64
	// UnreachedCost is the cost of a retry after an attempt that reached no backend server.
	UnreachedCost float64
	// ReachedCost is the cost of a retry after an attempt that reached a backend server but did not run.
	ReachedCost float64
	// RanCost is the cost of a retry after an attempt that ran or may have run for at least
	// NestedThreshold: its nested calls may be repeated as well.
	RanCost         float64
	NestedThreshold time.Duration
}

// retryCost returns the cost of a retry after a failed attempt.
func (a Allowance) retryCost(failed Attempt) float64 {
	switch {
	case !failed.Reached:
		return a.UnreachedCost
	case (failed.Failed || failed.Outcome.Executed != fleet.ExecutedNo) && failed.Took >= a.NestedThreshold:
		return a.RanCost
	default:
		return a.ReachedCost
	}
}
