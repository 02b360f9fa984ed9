package collector

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a failed collection.
type Kind string

const (
	// KindTooLarge means that the body is over the bound.
	KindTooLarge Kind = "toolarge"
	// KindMemory means that the node's memory for bodies is used up.
	KindMemory Kind = "memory"
	// KindBroken means that the body ended early.
	KindBroken Kind = "broken"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
