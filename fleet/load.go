package fleet

import "time"

// Load is the load of a backend server, which its owner reports with each answer.
type Load struct {
	Backend  BackendID
	InFlight int
	Queued   int
	Slots    int
	// At is the time when the report was received, by the receiver's clock.
	At time.Time
}
