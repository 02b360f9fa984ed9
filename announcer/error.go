package announcer

import "cowsliptally.example/cowsliptally/fault"

// Kind is a class of failure.
type Kind string

const (
	// KindUnreachable means that the node on the VM did not answer.
	KindUnreachable Kind = "unreachable"
	// KindRefused means that the node refused the announcement.
	KindRefused Kind = "refused"
)

// Error is a failed operation.
type Error = fault.Error[Kind]
