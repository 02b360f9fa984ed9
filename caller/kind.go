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
	// Share is the kind's weight among all kinds.
	Share      float64
	Idempotent bool
	// Size and AnswerSize are the lengths of the bodies, in bytes.
	Size       int
	AnswerSize int
	// Work is the median service time; 0 uses the backend server's default.
	Work    time.Duration
	Timeout time.Duration
}
