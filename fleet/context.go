package fleet

import (
	"context"
	"errors"
)

// ErrStopped is the cause of a request's context that ends because its owner's node stops.
var ErrStopped = errors.New("the node of the backend server stops")

// ContextReason returns why a request's context ended: ReasonDeadline if its deadline
// passed, ReasonStopped if its owner's node stops, else ReasonCancelled.
func ContextReason(ctx context.Context) Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return ReasonDeadline
	case errors.Is(cause, ErrStopped):
		return ReasonStopped
	default:
		return ReasonCancelled
	}
}
