package pooler

import (
	"bytes"
	"io"
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
