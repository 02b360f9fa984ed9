package fleet

import (
	"context"
	"errors"
)

// EndReason says whether a request's context ended by its deadline or by its caller.
func EndReason(ctx context.Context) Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCancelled
}
