package pooler

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a failed exchange.
type Kind string

const (
	// KindDial means that no connection could be made.
	KindDial Kind = "dial"
	// KindFull means that too many connections are open to make one.
	KindFull Kind = "full"
	// KindSilent means that the connection made no progress in time.
	KindSilent Kind = "silent"
	// KindSuperseded means that OnProgress cancelled the exchange.
	KindSuperseded Kind = "superseded"
	// KindBroken means that the connection failed before the head of the response was complete,
	// or that the response is invalid.
	KindBroken Kind = "broken"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
