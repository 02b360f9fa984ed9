package quarantiner

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// record holds the crashes of one identity.
type record struct {
	// first and second are the different backend servers that crashed with it.
	first, second fleet.BackendID
	// reporter is the node that detected the first crash; only it permits the trial request.
	reporter fleet.NodeID
	updated  time.Time
	// trialEnd is set at the reporter: no other trial request is permitted before it.
	trialEnd time.Time
}

func (r record) status() Status {
	if r.second != "" {
		return Poison
	}
	return Suspect
}
