package pooler

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// Exchange is one request sent and the head of its response.
type Exchange struct {
	// Response is nil when the exchange failed.
	Response *http.Response
	// Sent is false only with proof that no byte of the request left this process.
	Sent bool
	// Reused is set when the request went over a connection that was used before.
	Reused bool
	// Ended is set when the recipient closed the connection in order, directly after an
	// informational response: nothing that it sent was lost.
	Ended bool
	// Dropped is set when the recipient seems to have dropped the connection while it was idle. The
	// request most likely did not run, which is no proof.
	Dropped bool
	// Opened is when the connection was opened.
	Opened time.Time

	// id is that of the message.
	id     string
	cancel context.CancelCauseFunc
	// conn is the connection that was used; nil if none was.
	conn *conn
	// turn is the turn of the exchange on the connection.
	turn int
	// reserved is the memory reserved for the response's head.
	reserved atomic.Int64
}

// BodyLength returns the length of the response's body, or -1 if it is not known. The length
// in a response to HEAD is that of the response to GET.
func (e *Exchange) BodyLength() int64 {
	if e.Response.Request != nil && e.Response.Request.Method == http.MethodHead {
		return 0
	}
	return e.Response.ContentLength
}

// Refused ends an exchange whose response refuses the request. The connection may be used
// for other requests, but not for this one again: a repetition of the response would be taken
// for the next one.
func (e *Exchange) Refused() {
	if e.conn != nil {
		e.conn.recordRefusal(e.id)
	}
	e.Close()
}

// Break ends the exchange and closes its connection, which may hold the answer to another
// request. Close leaves a connection open whose answer has no body.
func (e *Exchange) Break() {
	e.Close()
	if e.conn != nil {
		e.conn.breakOff()
	}
}

// Close ends the exchange; the body cannot be read afterwards.
func (e *Exchange) Close() {
	if e.Response != nil {
		_ = e.Response.Body.Close()
	}
	if e.cancel != nil {
		e.cancel(context.Canceled)
	}
	if reserved := e.reserved.Swap(0); reserved > 0 {
		e.conn.answer.memory.Release(reserved)
	}
	if e.conn != nil && e.conn.strays.strayedIn(e.turn) {
		e.conn.breakOff() // more may follow
	}
}
