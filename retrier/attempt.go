package retrier

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Attempt is a failed try of a submission.
type Attempt struct {
	Service fleet.ServiceName
	// Number counts from 1.
	Number int
	// Outcome is the proof and the reason of the failure.
	Outcome    fleet.Outcome
	Idempotent bool
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
}
