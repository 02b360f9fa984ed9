package registrar

import "cowsliptally.example/cowsliptally/fault"

// Kind is a class of refusal.
type Kind string

const (
	// KindInvalid means that an announcement has a wrong or missing value.
	KindInvalid Kind = "invalid"
	// KindLeft means that a backend server that left announced itself as ready.
	KindLeft Kind = "left"
	// KindUnknown means that no such backend server is on this VM.
	KindUnknown Kind = "unknown"
)

// Error is a refused operation.
type Error = fault.Error[Kind]
