package admitter

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// ID names a request within one admitter.
type ID uint64

// Request is work that asks for a slot of a backend server.
type Request struct {
	ID           ID
	Kind         fleet.RequestKind
	Organisation fleet.Organisation
	// Weight is the worth of one answer; more goes first.
	Weight int
	// Deadline is the time after which an answer is worthless.
	Deadline time.Time
	// Target is the time after which an answer is worth less; zero if it never is.
	Target time.Time
	// Impatient work is refused when no slot is free.
	Impatient bool
}
