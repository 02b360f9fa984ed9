package verifier

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// maxBody bounds the body of an answer to a question, in bytes.
const maxBody = 64 << 10

// errClosing means that the server closes the connection behind its answer.
var errClosing = errors.New("the server closes the connection")

// witness is a connection to an address on which no requests are sent.
type witness struct {
	conn    net.Conn
	answers *bufio.Reader
}

// open opens a connection and asks over it.
func open(ctx context.Context, address string, timeout time.Duration) (*witness, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	w := &witness{conn: conn, answers: bufio.NewReader(conn)}
	if err := w.ask(timeout); err != nil && !errors.Is(err, errClosing) {
		_ = conn.Close()
		return nil, err
	}
	return w, nil
}

// ask sends OPTIONS *, which every HTTP server answers, and waits for an answer. Once an answer
// was late, a witness must not be used for long: what it reads later may be an old answer.
func (w *witness) ask(timeout time.Duration) error {
	if err := w.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(w.conn, "OPTIONS * HTTP/1.1\r\nHost: "+w.conn.RemoteAddr().String()+"\r\n\r\n"); err != nil {
		return err
	}
	answer, err := http.ReadResponse(w.answers, &http.Request{Method: http.MethodOptions})
	if err != nil {
		return err
	}
	defer answer.Body.Close() // reads the rest, until the deadline
	n, err := io.CopyN(io.Discard, answer.Body, maxBody)
	switch {
	case n == maxBody || answer.Close:
		return errClosing
	case !errors.Is(err, io.EOF):
		return err
	}
	return nil
}

func (w *witness) close() error { return w.conn.Close() }

// isTimeout reports whether a connection is silent, and not closed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
