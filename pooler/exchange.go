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

	cancel context.CancelCauseFunc
}

// take holds an answer in place of an earlier one.
func (e *Exchange) take(response *http.Response) {
	if e.Response != nil {
		_ = e.Response.Body.Close()
	}
	e.Response = response
}

// Close ends the exchange; the body cannot be read afterwards.
func (e *Exchange) Close() {
	if e.Response != nil {
		_ = e.Response.Body.Close()
	}
	if e.cancel != nil {
		e.cancel(context.Canceled)
	}
}
