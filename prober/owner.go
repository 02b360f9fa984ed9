package prober

import "cowsliptally.example/cowsliptally/fleet"

// Owner holds the authoritative entries of this VM's backend servers.
type Owner interface {
	// Backend returns a backend server of this VM.
	Backend(fleet.BackendID) (fleet.Backend, bool)
	// ResolveConflict compares an entry received from another node with the owner's one.
	ResolveConflict(seen fleet.Backend)
}

// noOwner has no backend servers.
type noOwner struct{}

func (noOwner) Backend(fleet.BackendID) (fleet.Backend, bool) { return fleet.Backend{}, false }
func (noOwner) ResolveConflict(fleet.Backend)                 {}
