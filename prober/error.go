package prober

import "cowsliptally.example/cowsliptally/fault"

// Kind is a class of failure.
type Kind string

const (
	// KindUnreachable means that no peer answered.
	KindUnreachable Kind = "unreachable"
	// KindInvalid means that a peer's message has a wrong value.
	KindInvalid Kind = "invalid"
	// KindSlow means that this node was too slow or paused to judge.
	KindSlow Kind = "slow"
)

// Error is a failed operation.
type Error = fault.Error[Kind]
