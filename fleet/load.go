package fleet

import "time"

// Load is what an owner reports of a backend server with each answer.
type Load struct {
	Backend  BackendID
	InFlight int
	Queued   int
	Slots    int
	// At is when the report was received, by the receiver's clock.
	At time.Time
}
