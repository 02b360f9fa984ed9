package floorkeeper

import "cowsliptally.example/cowsliptally/fleet"

// Candidate is one backend server of a service as one node evaluates it.
type Candidate struct {
	Backend fleet.BackendID
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// AcceptsRequests is false for one that is draining or gone.
	AcceptsRequests bool
	// Ejected is true while the replicated state holds an ejection.
	Ejected bool
	// Barred is true while an operator's override keeps it out.
	Barred bool
	// LLR is the log-likelihood ratio against it, in nats; lower is better.
	LLR float64
}
