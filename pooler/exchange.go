package pooler

import (
	"context"
	"net/http"
)

// Exchange is one request sent and the head of its answer.
type Exchange struct {
	// Response is nil when the exchange failed.
	Response *http.Response
	// Sent is false only with proof that no byte of the request left this process.
	Sent bool
	// Reused tells that the request went over a connection that was used before.
	Reused bool

	cancel    context.CancelCauseFunc
	closeBody func() error
}

// Close ends the exchange; the body cannot be read afterwards.
func (e *Exchange) Close() {
	if e.closeBody != nil {
		// Nothing is written to the body, so that nothing is lost by an error here.
		_ = e.closeBody()
	}
	if e.cancel != nil {
		e.cancel(context.Canceled)
	}
}
