package pooler

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// resetConn fails writes after a number of bytes, and ends in order for the reader.
type resetConn struct {
	net.Conn
	left int
}

func (r *resetConn) Read([]byte) (int, error) { return 0, io.EOF }

func (r *resetConn) SetWriteDeadline(time.Time) error { return nil }

func (r *resetConn) Write(b []byte) (int, error) {
	n := min(r.left, len(b))
	r.left -= n
	if n < len(b) {
		return n, syscall.ECONNRESET
	}
	return n, nil
}

// TestEndBeforeTheRequestWasWrittenIsNotInOrder guards against a reset that a write noticed and
// a read takes for an end in order.
func TestEndBeforeTheRequestWasWrittenIsNotInOrder(t *testing.T) {
	for name, request := range map[string]string{
		"no body": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"empty":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
		"length":  "POST / HTTP/1.1\r\nContent-Length: 12\r\nHost: h\r\n\r\nab\r\n\r\nabcdef",
		"chunks":  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nHost: h\r\n\r\n5\r\nab\r\n\r\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for size := 1; size <= len(request); size++ {
				for written := range len(request) + 1 {
					c := &conn{Conn: &resetConn{left: written}}
					_, err := c.Read(nil)
					is.Equal(err, io.EOF)
					is.True(c.ended.Load()) // unused
					c.begin()
					_, _ = io.CopyBuffer(struct{ io.Writer }{c}, io.LimitReader(strings.NewReader(request), int64(len(request))), make([]byte, size))
					_, err = c.Read(nil)
					is.Equal(err, io.EOF)
					is.Equal(c.ended.Load(), written == len(request))
				}
			}
		})
	}
}
