package fleet

import "time"

// Executed states whether a request ran on a backend server.
type Executed string

const (
	// ExecutedYes accompanies a complete answer of a backend server.
	ExecutedYes Executed = "yes"
	// ExecutedNo is used only with proof that the request did not and will not run.
	ExecutedNo Executed = "no"
	// ExecutedUnknown is used whenever there is no proof.
	ExecutedUnknown Executed = "unknown"
)

// Outcome is returned to a caller for a request that got no answer.
type Outcome struct {
	Executed Executed
	Reason   Reason
	// RetryAfter is the time after which room is expected for a request that was refused; 0 if it
	// is not known.
	RetryAfter time.Duration
}
