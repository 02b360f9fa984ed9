package fleet

import "time"

// Load is the load of a backend server, which its owner reports with each answer.
type Load struct {
	Backend  BackendID
	InFlight int
	Queued   int
	Slots    int
	// Limit is the value of HeaderLimit; empty if the owner does not know the limit.
	Limit string
	// Pause is the time for which the limit keeps a new request waiting.
	Pause time.Duration
	// At is the time when the report was received, by the receiver's clock.
	At time.Time
}
