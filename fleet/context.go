package fleet

import (
	"context"
	"errors"
)

// EndReason returns why a request's context ended: ReasonDeadline if its deadline
// passed, else ReasonCancelled.
func EndReason(ctx context.Context) Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCancelled
}
