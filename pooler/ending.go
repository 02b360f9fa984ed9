package pooler

import (
	"errors"
	"io"
	"net/http"
)

// errCut is the error of an answer that ends with its connection, when that may not be its end.
var errCut = errors.New("the connection ended before the request was sent whole")

// ending is the body of an answer that ends with its connection. A peer that leaves a request
// unread resets the connection, and the write that fails by it takes the notice: the read after
// it meets an end in order.
type ending struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the body.
func (e ending) Read(b []byte) (int, error) {
	n, err := e.ReadCloser.Read(b)
	if errors.Is(err, io.EOF) && !e.conn.ended.Load() {
		return n, errCut
	}
	return n, err
}

// IsDelimited reports whether the response tells the end of its body, other than by the end of
// its connection.
func (e *Exchange) IsDelimited() bool {
	return e.BodyLength() >= 0 || len(e.Response.TransferEncoding) > 0
}

// setResponse sets the response and closes the body of an earlier one.
func (e *Exchange) setResponse(response *http.Response) {
	if e.Response != nil {
		_ = e.Response.Body.Close()
	}
	e.Response = response
	if !e.IsDelimited() {
		response.Body = ending{response.Body, e.conn}
	}
}
