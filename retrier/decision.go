package retrier

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Decision is the result for a failed attempt: whether to retry it.
type Decision struct {
	Retry bool
	// Delay is the time to wait before the next attempt.
	Delay time.Duration
	// RetryCost is the cost of the retry to charge to the retry budget of the next backend server's
	// owner, as this node's budget is used up; 0 when this node's budget is charged.
	RetryCost float64
	// Reason is the failure's own reason, or ReasonBudget when only the budget prevented a retry.
	Reason fleet.Reason
}
