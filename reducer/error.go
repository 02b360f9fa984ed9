package reducer

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a failure to restore a state.
type Kind string

const (
	// KindCheckpoint means that a checkpoint is inconsistent.
	KindCheckpoint Kind = "checkpoint"
	// KindIncomplete means that parts of a checkpoint are missing.
	KindIncomplete Kind = "incomplete"
)

// Error is a failure to restore a state.
type Error = fault.Error[Kind]
