package announcer

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a failed operation.
type Kind string

const (
	// KindUnreachable means that the node on the VM did not respond or could not
	// process the call.
	KindUnreachable Kind = "unreachable"
	// KindRefused means that the node rejected the announcement or the leave.
	KindRefused Kind = "refused"
)

// Error is a failed operation.
type Error = fault.Error[Kind]
