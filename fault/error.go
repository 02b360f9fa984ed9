// Package fault defines the generic error type on which each package bases its own.
package fault

import (
	"errors"
	"fmt"
)

// Error describes a failed operation. Each package declares its own error type
// as Error[Kind], with its own string type Kind.
type Error[K ~string] struct {
	// Operation is the name of the operation, such as "append".
	Operation string
	// Kind is the class of failure, on which calling code may switch.
	Kind K
	// Err is the cause or a description.
	Err error
}

// New returns an error with a formatted description.
func New[K ~string](operation string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{Operation: operation, Kind: kind, Err: fmt.Errorf(format, args...)}
}

// Error returns the operation, the kind and, if there is one, the cause.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Operation, string(e.Kind))
	}
	return fmt.Sprintf("%s: %s: %v", e.Operation, string(e.Kind), e.Err)
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error {
	return e.Err
}

// KindOf returns the kind of the first Error[K] in err's chain, or "".
func KindOf[K ~string](err error) K {
	var found *Error[K]
	if errors.As(err, &found) {
		return found.Kind
	}
	return ""
}
