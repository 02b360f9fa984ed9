package prober

import "cowsliptally.example/cowsliptally/fleet"

// Owner answers for the backend servers of this VM.
type Owner interface {
	// Backend returns a backend server of this VM.
	Backend(fleet.BackendID) (fleet.Backend, bool)
	// Claim compares an entry that another node spreads with the own one.
	Claim(seen fleet.Backend)
}

// noOwner owns nothing.
type noOwner struct{}

func (noOwner) Backend(fleet.BackendID) (fleet.Backend, bool) { return fleet.Backend{}, false }
func (noOwner) Claim(fleet.Backend)                           {}
