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
	// Reason is the failure's own reason, or ReasonBudget when only the budget forbade a retry.
	Reason fleet.Reason
}
