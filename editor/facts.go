package editor

import "cowsliptally.example/cowsliptally/fleet"

// Facts is what the editor must know of the backend servers.
type Facts interface {
	// Slots returns the slots of all backend servers that joined a service.
	Slots(service fleet.ServiceName) int
	// Backend returns a backend server that joined.
	Backend(id fleet.BackendID) (fleet.Backend, bool)
}
