package replicator

import (
	"fmt"

	"cowsliptally.example/cowsliptally/fault"
)

// Kind is the class of a failed operation.
type Kind string

const (
	// KindUnavailable means that the log cannot be used; nothing was changed.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that an append may or may not take effect.
	KindUnknown Kind = "unknown"
	// KindNotReady means that the node's state is not confirmed to be current.
	KindNotReady Kind = "notready"
	// KindInvalid means that the operation's input is invalid.
	KindInvalid Kind = "invalid"
)

// Error is a failed operation.
type Error = fault.Error[Kind]

// KindOf returns the kind of err, or "" when it is not of this package.
func KindOf(err error) Kind {
	return fault.KindOf[Kind](err)
}

func newError(operation string, kind Kind, format string, args ...any) error {
	return &Error{Operation: operation, Kind: kind, Err: fmt.Errorf(format, args...)}
}
