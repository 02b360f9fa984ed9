package judge

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Settings gives the configuration in force.
type Settings interface {
	Configuration() fleet.Configuration
}

// Ejections gives what the fold of the log holds.
type Ejections interface {
	// Ejected returns the accepted ejection of a backend server that stands.
	Ejected(fleet.BackendID) (*cowsliptallyv1.Ejection, bool)
}

// Directory gives the backend servers that the node knows of.
type Directory interface {
	// Backends returns a shared slice that is not changed.
	Backends(fleet.ServiceName) []fleet.Backend
}
