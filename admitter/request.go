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
	// Abort is when its ingress aborts it, as that stops; zero if it does not. Many requests end sooner than is usual for
	// their kind, so it only decides whether the end of this node matters, and not whether there is time for the request.
	Abort time.Time
	// Target is the time after which an answer has less value; zero if there is none.
	Target time.Time
	// Repeatable requests may run again elsewhere if they are cut.
	Repeatable bool
	// NoWait marks a no-wait attempt: it is refused unless a slot is free.
	NoWait bool
}

// ends returns when the request ends at the latest.
func (r Request) ends() time.Time {
	if r.Abort.IsZero() || r.Deadline.Before(r.Abort) {
		return r.Deadline
	}
	return r.Abort
}
