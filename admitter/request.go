package admitter

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// ID identifies a request within one admitter.
type ID uint64

// Request is a request for a slot of a backend server.
type Request struct {
	ID           ID
	Kind         fleet.RequestKind
	Organisation fleet.Organisation
	// Weight is the value of one answer; higher ones go first.
	Weight int
	// Deadline is the time after which an answer has no value.
	Deadline time.Time
	// Target is the time after which an answer has less value; zero if there is none.
	Target time.Time
	// Repeatable requests may run again elsewhere if they are cut.
	Repeatable bool
	// NoWait marks a no-wait attempt: it is refused unless a slot is free.
	NoWait bool
}
