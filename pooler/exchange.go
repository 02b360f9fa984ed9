package pooler

import (
	"context"
	"net/http"
)

// Exchange is one request sent and the head of its response.
type Exchange struct {
	// Response is nil when the exchange failed.
	Response *http.Response
	// Sent is false only with proof that no byte of the request left this process.
	Sent bool
	// Reused is set when the request went over a connection that was used before.
	Reused bool

	cancel context.CancelCauseFunc
}

// setResponse sets the response and closes the body of an earlier one.
func (e *Exchange) setResponse(response *http.Response) {
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
