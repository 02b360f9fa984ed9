package evaluator

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Settings returns the configuration in force.
type Settings interface {
	Configuration() fleet.Configuration
}

// Ejections reads ejections from the replicated state.
type Ejections interface {
	// Ejected returns the accepted ejection of a backend server, if it is in force.
	Ejected(fleet.BackendID) (*cowsliptallyv1.Ejection, bool)
}

// Directory lists the backend servers of a service.
type Directory interface {
	// Backends returns a shared slice; the caller must not modify it.
	Backends(fleet.ServiceName) []fleet.Backend
}
