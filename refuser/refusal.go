package refuser

import "cowsliptally.example/cowsliptally/fleet"

// Refusal is what a caller is told when its request got no answer.
type Refusal struct {
	Request  fleet.RequestID `json:"request"`
	Executed fleet.Executed  `json:"executed"`
	Reason   fleet.Reason    `json:"reason"`
	Message  string          `json:"message"`
}
