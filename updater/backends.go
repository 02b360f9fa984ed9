package updater

import "cowsliptally.example/cowsliptally/fleet"

// Backends looks up the backend servers that joined the fleet.
type Backends interface {
	// Slots returns the total number of slots of all backend servers that joined a service.
	Slots(service fleet.ServiceName) int
	// Backend returns a backend server by identifier, if it has joined.
	Backend(id fleet.BackendID) (fleet.Backend, bool)
}
