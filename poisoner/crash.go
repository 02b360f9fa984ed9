package poisoner

import "cowsliptally.example/cowsliptally/fleet"

// Crash is the death of a backend server.
type Crash struct {
	// Reporter is the node that saw it; it alone permits trial runs.
	Reporter fleet.NodeID
	Backend  fleet.BackendID
}
