package command

import (
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fault"
)

// Kind is the class of a failed command.
type Kind string

const (
	// KindRefused means that the fleet refused the change; nothing changed.
	KindRefused Kind = "refused"
	// KindInput means that an argument or a file is invalid; nothing changed.
	KindInput Kind = "input"
	// KindUnavailable means that the node or the log service is unavailable; nothing changed.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that the outcome is unknown: the change may still take effect.
	KindUnknown Kind = "unknown"
	// KindBehind means that a revision is not in force on every node.
	KindBehind Kind = "behind"
)

// Error is a failed command.
type Error = fault.Error[Kind]

// Exit codes of the program.
const (
	exitFailed      = 1
	exitInput       = 2
	exitUnavailable = 3
	exitUnknown     = 4
)

// ExitCode returns the exit code for a command's error, 0 for nil.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	switch fault.KindOf[Kind](err) {
	case KindInput:
		return exitInput
	case KindUnavailable:
		return exitUnavailable
	case KindUnknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

func newError(operation string, kind Kind, format string, args ...any) error {
	return &Error{Operation: operation, Kind: kind, Err: fmt.Errorf(format, args...)}
}

// callError classifies the error of a read-only call.
func callError(operation string, err error) error {
	kind := KindUnavailable
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound:
		kind = KindInput
	}
	return &Error{Operation: operation, Kind: kind, Err: err}
}

// proposalError classifies the error of a proposal. If the error did not come from
// the service itself, the outcome is unknown.
func proposalError(id string, err error) error {
	const operation = "propose"
	var answer *connect.Error
	fromServer := errors.As(err, &answer) && connect.IsWireError(err)
	switch {
	case fromServer && answer.Code() == connect.CodeUnavailable:
		return &Error{Operation: operation, Kind: KindUnavailable, Err: err}
	case fromServer && answer.Code() == connect.CodeInvalidArgument:
		return &Error{Operation: operation, Kind: KindInput, Err: err}
	default:
		return newError(operation, KindUnknown, "the outcome of operation %s is unknown; query it with: cowsliptally operation %s (%w)", id, id, err)
	}
}
