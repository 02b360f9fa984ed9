package retrier

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Decision says whether to try again.
type Decision struct {
	Retry bool
	// Delay is the time to wait before the next attempt.
	Delay time.Duration
	// Owed is the price of the retry that the owner of the next backend server has to pay,
	// since this node's budget is spent; 0 when it is paid.
	Owed float64
	// Reason is the failure's own reason, or ReasonBudget when only the budget forbade a retry.
	Reason fleet.Reason
}
