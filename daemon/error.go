package daemon

import "cowsliptally.example/cowsliptally/fault"

// Kind is a class of failure of a daemon.
type Kind string

const (
	// KindListen means that an address could not be listened on.
	KindListen Kind = "listen"
	// KindDuty means that a duty of the node ended on its own.
	KindDuty Kind = "duty"
	// KindShutdown means that requests were still in flight when the time was up.
	KindShutdown Kind = "shutdown"
)

// Error is a failure of a daemon.
type Error = fault.Error[Kind]
