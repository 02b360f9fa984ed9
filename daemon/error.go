package daemon

import "cowsliptally.example/cowsliptally/fault"

// Kind is a class of failure of a daemon.
type Kind string

const (
	// KindListen means that an address could not be listened on.
	KindListen Kind = "listen"
	// KindTask means that a background task of the node ended unexpectedly.
	KindTask Kind = "duty"
	// KindShutdown means that requests were still in flight when the shutdown timed out.
	KindShutdown Kind = "shutdown"
)

// Error is a failure of a daemon.
type Error = fault.Error[Kind]
