package registrar

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a refused operation.
type Kind string

const (
	// KindInvalid means that an announcement has an invalid or missing value.
	KindInvalid Kind = "invalid"
	// KindLeft means that a backend server announced that it takes work after it left.
	KindLeft Kind = "left"
	// KindUnknown means that the backend server is not registered on this VM.
	KindUnknown Kind = "unknown"
	// KindUnavailable means that departures could not be read or recorded: the call may be
	// repeated.
	KindUnavailable Kind = "unavailable"
)

// Error is a refused operation.
type Error = fault.Error[Kind]
