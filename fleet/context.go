package fleet

import (
	"context"
	"errors"
)

// ContextReason returns why a request's context ended: ReasonDeadline if its deadline
// passed, else ReasonCancelled.
func ContextReason(ctx context.Context) Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCancelled
}
