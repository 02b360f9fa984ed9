package updater

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a refused change.
type Kind string

const (
	// KindEmpty means that there are no changes, or that a change has no edit.
	KindEmpty Kind = "empty"
	// KindTooMany means that there are more changes than MaxChanges.
	KindTooMany Kind = "toomany"
	// KindName means that a name is empty, too long or has invalid characters.
	KindName Kind = "name"
	// KindValue means that a value is out of its range.
	KindValue Kind = "value"
	// KindUnknown means that what a change refers to does not exist.
	KindUnknown Kind = "unknown"
	// KindFloor means that a service's minimum healthy capacity exceeds its capacity.
	KindFloor Kind = "floor"
	// KindInUse means that a service to be deleted still has routes.
	KindInUse Kind = "inuse"
)

// Error is a refused change.
type Error = fault.Error[Kind]
