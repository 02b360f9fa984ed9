package retrier

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Allowance is one node's part of a retry budget that a whole fleet must keep.
type Allowance struct {
	// PerRequest is the number of retries that each request earns its service.
	PerRequest float64
	// PerSecond is the number of retries that each service earns with time.
	PerSecond float64
	// Burst is the number of retries that a service may save up.
	Burst float64
	// Unreached is what a retry costs whose attempt before never arrived at a backend server.
	Unreached float64
	// Reached is what a retry costs whose attempt before arrived but did not run.
	Reached float64
	// Ran is what a retry costs whose attempt before ran or may have run for longer than
	// Nested: its nested calls may be made again as well.
	Ran    float64
	Nested time.Duration
	// Start is the number of retries at the start of the node.
	Start float64
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
