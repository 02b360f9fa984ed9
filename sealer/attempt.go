package sealer

import "cowsliptally.example/cowsliptally/fleet"

// Attempt names one try of a submission at this owner.
type Attempt struct {
	Request fleet.RequestID
	// Number counts the attempts of the submission from 1 to MaxAttempt.
	Number int
	// Ticket is the owner's stamp that the ingress held when it sent the attempt.
	Ticket string
	// Once refuses the attempt when any other attempt of the submission was dispatched here.
	Once bool
}
