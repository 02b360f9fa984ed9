package sealer

import "cowsliptally.example/cowsliptally/fleet"

// Attempt identifies one attempt of a submission at this owner.
type Attempt struct {
	Request fleet.RequestID
	// Number counts the attempts of the submission from 1 to MaxAttempt.
	Number int
	// Ticket is the owner's time stamp that the ingress held when it sent the attempt.
	Ticket string
	// Once refuses the attempt when any other attempt of the submission was dispatched here.
	Once bool
}
