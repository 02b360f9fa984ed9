package launcher

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a launcher's failure.
type Kind string

const (
	// KindStopped means that the launcher was stopped and starts no more processes.
	KindStopped Kind = "stopped"
	// KindOutput means that the output file could not be opened.
	KindOutput Kind = "output"
	// KindStart means that the program could not be started.
	KindStart Kind = "start"
	// KindKilled means that a process did not end in time and was killed.
	KindKilled Kind = "killed"
	// KindExit means that a process ended with an exit code other than 0.
	KindExit Kind = "exit"
)

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

func newError(operation string, kind Kind, format string, args ...any) *Error {
	return fault.New(operation, kind, format, args...)
}
