package admitter

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Action is what to do with a request.
type Action uint8

const (
	// Run gives the request a slot.
	Run Action = iota + 1
	// Wait leaves the request in the queue; a later decision follows.
	Wait
	// Refuse rejects the request; it has not run.
	Refuse
)

// Decision is the result for one request.
type Decision struct {
	ID     ID
	Action Action
	// Reason is set when the request is refused.
	Reason fleet.Reason
	// RetryAfter is the time after which room is expected for a request that lost its place in
	// the queue; 0 if it is not known.
	RetryAfter time.Duration
}
