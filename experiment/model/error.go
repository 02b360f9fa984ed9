package model

import faults "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a failure.
type Kind string

const (
	// KindSettings is an invalid setting.
	KindSettings Kind = "settings"
	// KindLog is a log service or node that does not answer.
	KindLog Kind = "log"
)

// Error is a failed operation of a model.
type Error = faults.Error[Kind]

func newError(operation string, kind Kind, format string, args ...any) error {
	return faults.New(operation, kind, format, args...)
}
