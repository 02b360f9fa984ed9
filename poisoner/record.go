package poisoner

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// record is what speaks against one identity.
type record struct {
	// first and second are the different backend servers that crashed with it.
	first, second fleet.BackendID
	// reporter is the node that saw the first crash; it alone permits the trial run.
	reporter fleet.NodeID
	updated  time.Time
	// trialEnd is set at the reporter: no other trial run is permitted before it.
	trialEnd time.Time
}

func (r record) standing() Standing {
	if r.second != "" {
		return Poison
	}
	return Suspect
}
