package pooler

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// scripted is a connection whose reads return parts, and then an error.
type scripted struct {
	net.Conn
	parts    []string
	readErr  error
	accepts  int
	writeErr error
}

func (s *scripted) Read(b []byte) (int, error) {
	if len(s.parts) == 0 {
		return 0, s.readErr
	}
	n := copy(b, s.parts[0])
	s.parts = s.parts[1:]
	return n, nil
}

func (s *scripted) Write(b []byte) (int, error) { return min(s.accepts, len(b)), s.writeErr }

// TestFailedWritesCountOnlyIfBytesLeft guards against a request that is taken for sent
// although its connection had been reset before its first byte, and against the opposite.
func TestFailedWritesCountOnlyIfBytesLeft(t *testing.T) {
	is := is.New(t)
	for _, tc := range []struct {
		accepts int
		err     error
		writes  uint64
	}{{0, syscall.EPIPE, 0}, {0, syscall.ECONNRESET, 0}, {1, syscall.EPIPE, 1}, {4, nil, 1}} {
		c := &conn{Conn: &scripted{accepts: tc.accepts, writeErr: tc.err}}
		_, _ = c.Write([]byte("text"))
		is.Equal(c.writes.Load(), tc.writes)
	}
}

// TestEndInOrderAfterHead guards against a partial head, or a reset, that is taken for the end
// of all that the peer sent.
func TestEndInOrderAfterHead(t *testing.T) {
	const head = "HTTP/1.1 102 Processing\r\n\r\n"
	for name, tc := range map[string]struct {
		parts []string
		err   error
		ended bool
	}{
		"whole":               {[]string{head}, io.EOF, true},
		"byte by byte":        {[]string{"H", "\r", "\n", "\r", "\n"}, io.EOF, true},
		"two heads":           {[]string{head + head[:20], head[20:]}, io.EOF, true},
		"part of a head":      {[]string{head, head[:20]}, io.EOF, false},
		"part of the end":     {[]string{head[:len(head)-1]}, io.EOF, false},
		"nothing":             {nil, io.EOF, false},
		"reset":               {[]string{head}, syscall.ECONNRESET, false},
		"closed on this side": {[]string{head}, net.ErrClosed, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &conn{Conn: &scripted{parts: tc.parts, readErr: tc.err}}
			_, _ = io.ReadAll(c)
			is.Equal(c.endedAfterHead(), tc.ended)
		})
	}
}

// TestResetIsToldThoughAWriteMeetsTheClose guards against a dropped idle connection that counts as one that broke at
// work: net/http closes it on the reset, and the write of the request fails for the close.
func TestResetIsToldThoughAWriteMeetsTheClose(t *testing.T) {
	is := is.New(t)
	c := &conn{Conn: &scripted{readErr: &net.OpError{Op: "read", Err: syscall.ECONNRESET}}}
	is.True(!c.wasEnded(net.ErrClosed))
	_, err := c.receive(make([]byte, 1))
	is.True(err != nil)
	is.True(c.wasEnded(net.ErrClosed))
}
