package refuser

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Refusal is the body of the answer to a request that got none from a backend server.
type Refusal struct {
	Request  fleet.RequestID `json:"request"`
	Executed fleet.Executed  `json:"executed"`
	Reason   fleet.Reason    `json:"reason"`
	Message  string          `json:"message"`
	// RetryAfter is the time after which the caller may retry; 0 selects a second.
	RetryAfter time.Duration `json:"-"`
}
