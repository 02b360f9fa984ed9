package editor

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a refused change.
type Kind string

const (
	// KindEmpty means that there is no change or a change without an edit.
	KindEmpty Kind = "empty"
	// KindTooMany means that there are more changes than maxChanges.
	KindTooMany Kind = "toomany"
	// KindName means that a name is empty, too long or has wrong characters.
	KindName Kind = "name"
	// KindValue means that a value is out of its range.
	KindValue Kind = "value"
	// KindUnknown means that the named thing does not exist.
	KindUnknown Kind = "unknown"
	// KindFloor means that the minimum healthy capacity is above the service's capacity.
	KindFloor Kind = "floor"
	// KindInUse means that a service still has routes.
	KindInUse Kind = "inuse"
)

// Error is a refused change.
type Error = fault.Error[Kind]
