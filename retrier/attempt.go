package retrier

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Attempt is a failed attempt of a submission.
type Attempt struct {
	Service fleet.ServiceName
	// Number counts from 1.
	Number int
	// Runs is the number of attempts so far, this one included, that ran or may have run.
	Runs int
	// MaxRuns bounds Runs over the whole submission; 0 for no bound beyond that of attempts.
	MaxRuns int
	// Reached reports whether the attempt reached the backend server, run or not.
	Reached bool
	// Failed reports whether the backend server answered with an error; a retry may get another answer.
	Failed bool
	// Took is how long the failed attempt lasted.
	Took time.Duration
	// Outcome is the reason of the failure and whether the attempt was executed.
	Outcome    fleet.Outcome
	Idempotent bool
	// Charged is set if the retry is charged already, for an attempt that did not run.
	Charged bool
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
}

// repeatable reports whether another attempt is permitted at all.
func (a Attempt) repeatable() bool {
	if a.MaxRuns > 0 && a.Runs >= a.MaxRuns {
		return false
	}
	if a.Failed {
		return a.Idempotent
	}
	return Repeatable(a.Outcome, a.Idempotent)
}
