package pooler

import (
	"bytes"
	"io"
	"net/http"
)

// body is a request body that net/http cannot rewind, so that the
// transport never sends a request twice on its own.
type body struct {
	*bytes.Reader
}

// Close does nothing.
func (body) Close() error { return nil }

func newBody(content []byte) io.ReadCloser {
	return body{bytes.NewReader(content)}
}

// setContent gives the request a body that cannot be sent a second time.
func setContent(r *http.Request, content []byte) {
	r.GetBody = nil
	r.ContentLength = int64(len(content))
	r.Body = newBody(content)
	if len(content) == 0 && retriedByTransport(r) {
		r.ContentLength = -1
		return
	}
	if len(content) == 0 {
		r.Body = http.NoBody
	}
}

// retriedByTransport reports whether net/http would resend a request without a body on its own.
func retriedByTransport(r *http.Request) bool {
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != ""
}
