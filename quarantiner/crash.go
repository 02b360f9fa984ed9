package quarantiner

import "cowsliptally.example/cowsliptally/fleet"

// Crash describes a crash of a backend server.
type Crash struct {
	// Reporter is the node that detected it; only this node permits trial requests.
	Reporter fleet.NodeID
	Backend  fleet.BackendID
}
