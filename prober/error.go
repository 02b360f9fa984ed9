package prober

import "cowsliptally.example/cowsliptally/fault"

// Kind is a class of failure.
type Kind string

const (
	// KindUnreachable means that no peer responded.
	KindUnreachable Kind = "unreachable"
	// KindInvalid means that a peer's message has an invalid value.
	KindInvalid Kind = "invalid"
	// KindSlow means that this node was too slow or paused for a conclusive probe.
	KindSlow Kind = "slow"
)

// Error is a failed operation.
type Error = fault.Error[Kind]
