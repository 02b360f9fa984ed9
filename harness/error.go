package harness

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a harness's failure.
type Kind string

const (
	// KindAddress means that no free addresses were found.
	KindAddress Kind = "address"
	// KindTimeout means that the fleet did not reach a state in time.
	KindTimeout Kind = "timeout"
	// KindRefused means that a program refused a command.
	KindRefused Kind = "refused"
	// KindLedger means that a ledger could not be read.
	KindLedger Kind = "ledger"
)

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

func newError(operation string, kind Kind, format string, args ...any) *Error {
	return fault.New(operation, kind, format, args...)
}
