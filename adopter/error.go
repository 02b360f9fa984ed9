package adopter

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a failure to adopt a document.
type Kind string

const (
	// KindInvalid means that a document cannot be read.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
