package floorkeeper

import "cowsliptally.example/cowsliptally/fleet"

// Candidate is one backend server of a service as a node knows it.
type Candidate struct {
	Backend fleet.BackendID
	// Slots is the number of requests that it runs at a time.
	Slots int
	// TakesWork is false for one that drains or is gone.
	TakesWork bool
	// Ejected is true while the fold holds an ejection.
	Ejected bool
	// Barred is true while an operator's override keeps it out.
	Barred bool
	// Nats is the evidence against it; the least is the best.
	Nats float64
}
