package ejector

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a failure.
type Kind string

// KindSetup is an ejector without a required dependency.
const KindSetup Kind = "setup"

// Error is a failed operation of an ejector.
type Error = fault.Error[Kind]

func newError(operation string, kind Kind, format string, args ...any) error {
	return fault.New(operation, kind, format, args...)
}
