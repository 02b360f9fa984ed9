package caller

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Kind is a class of requests that a caller sends.
type Kind struct {
	Name    fleet.RequestKind
	Service fleet.ServiceName
	Method  string
	Path    string
	// Share is the part of all requests, relative to the other kinds' shares.
	Share      float64
	Idempotent bool
	// Size and AnswerSize are the lengths of the bodies, in bytes.
	Size       int
	AnswerSize int
	// Work is the median service time; 0 takes the backend server's.
	Work    time.Duration
	Timeout time.Duration
}
