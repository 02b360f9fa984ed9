package quarantiner

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Crash is a crash of a backend server with a request in one of its slots.
type Crash struct {
	Backend fleet.BackendID
	At      time.Time
	// Trial is set if the request ran there as a trial request, and Shared if others did at the same time.
	Trial, Shared bool
	// Cleared is set once the request has run to its end, as seen by a node that knew of the crash.
	Cleared bool
}

// WithCleared returns a copy that is cleared.
func (c Crash) WithCleared() Crash {
	c.Cleared = true
	return c
}

// merge returns what two nodes know of one crash. Nodes hear of it late, never early.
func (c Crash) merge(other Crash) Crash {
	if other.At.Before(c.At) {
		c.At = other.At
	}
	c.Trial = c.Trial || other.Trial
	c.Shared = c.Shared || other.Shared
	c.Cleared = c.Cleared || other.Cleared
	return c
}
