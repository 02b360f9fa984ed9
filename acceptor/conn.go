package acceptor

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"cowsliptally.example/cowsliptally/drainer"
)

const (
	// headEnd ends the head of a request.
	headEnd = "\r\n\r\n"
	// readSize is the number of bytes of one read ahead.
	readSize = 4 << 10
)

// aLongTimeAgo is a deadline that interrupts a pending read.
var aLongTimeAgo = time.Unix(1, 0)

// conn is an accepted connection. While a request is served, net/http reads a single byte
// to notice the end of the connection, and stops at the first byte of a pipelined request.
// From then on the connection is read ahead into a buffer until the next Read.
type conn struct {
	net.Conn
	acceptor *Acceptor
	// inRead is held during a Read.
	inRead sync.Mutex

	mu sync.Mutex
	// deadline is the read deadline set by net/http.
	deadline time.Time
	// ahead holds the bytes that were read ahead, and aheadBytes counts them.
	ahead      []chunk
	aheadBytes int
	// tail holds the last bytes that Read returned, up to three.
	tail []byte
	// peeked holds the byte that net/http read while a request is served, if any.
	peeked []byte
	// ambiguous is set once a line ended without a carriage return. net/http accepts that, so
	// a request may then end where Read did not stop.
	ambiguous bool
	// notify is called with the bytes of later requests; nil unless they are watched.
	notify func([]byte)
	// notifying is held during a call of notify.
	notifying sync.Mutex
	// arrival is when the newest bytes that Read returned to a request's parser arrived.
	arrival time.Time
	// err is the error that ended reading ahead; it is returned after the bytes.
	err error
	// reading is closed when reading ahead ends; nil when it is not under way.
	reading chan struct{}
	cancel  context.CancelFunc
	closed  bool
	// unended is set while the end of the connection would end an answer.
	unended bool
}

func (c *conn) setCancel(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

// NetConn returns the accepted connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read returns bytes that were read ahead, then reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	c.inRead.Lock()
	defer c.inRead.Unlock()
	c.stopReadingAhead()
	n, at, found, err := c.takeAhead(b)
	if !found {
		n, err = c.Conn.Read(b)
		at = c.acceptor.clock.Now()
		c.noteEnd(err)
	}
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n = c.stopAtHead(b[:n], at, len(b) == 1)
	if len(b) == 1 && n == 1 && err == nil {
		c.startReadingAhead()
		c.notifyAhead()
	}
	return n, err
}

// stopAtHead returns how many of the bytes Read returns: none after the end of a head, so
// that no byte of a later request is in net/http's buffer while a request without a body is
// served. The others are kept for the next Read. It records when the bytes arrived, unless
// they are a byte that net/http read ahead.
func (c *conn) stopAtHead(b []byte, at time.Time, peeked bool) int {
	if len(b) == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.headLength(b)
	if n < len(b) {
		c.ahead = slices.Insert(c.ahead, 0, chunk{content: slices.Clone(b[n:]), at: at})
		c.aheadBytes += len(b) - n
	}
	c.ambiguous = c.ambiguous || bareNewline(c.seam(b)) || bareNewline(b[:n])
	c.tail = append(c.tail, b[max(0, n-len(headEnd)+1):n]...)
	c.tail = c.tail[max(0, len(c.tail)-len(headEnd)+1):]
	if c.peeked = nil; peeked {
		c.peeked = slices.Clone(b[:n])
		return n
	}
	c.arrival = at
	return n
}

// headLength returns the number of bytes up to the end of the first head in b, or all if none
// ends there. The caller holds mu.
func (c *conn) headLength(b []byte) int {
	if i := bytes.Index(c.seam(b), []byte(headEnd)); i >= 0 {
		return i + len(headEnd) - len(c.tail)
	}
	if i := bytes.Index(b, []byte(headEnd)); i >= 0 {
		return i + len(headEnd)
	}
	return len(b)
}

// seam returns the last bytes that Read returned and the first ones of b. The caller holds mu.
func (c *conn) seam(b []byte) []byte {
	return append(slices.Clone(c.tail), b[:min(len(b), len(headEnd)-1)]...)
}

// bareNewline reports whether a line feed other than the first byte follows no carriage
// return.
func bareNewline(b []byte) bool {
	for from := 1; from < len(b); {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return false
		}
		if b[from+i-1] != '\r' {
			return true
		}
		from += i + 1
	}
	return false
}

// lastArrival returns when the newest bytes arrived that a request's parser has read.
func (c *conn) lastArrival() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrival
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// noteEnd ends the context of the connection's requests if the connection ended.
func (c *conn) noteEnd(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	c.err = err
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline sets the deadline of Read; reading ahead has none.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.reading != nil || c.closed {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending direction.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets whether closing the connection resets it, as that of net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	if lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil
}

// setUnended sets whether the end of the connection would end an answer.
func (c *conn) setUnended(unended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unended = unended; unended {
		_ = c.SetLinger(0) // fails only if the connection has ended
	} else {
		_ = c.SetLinger(-1) // the default
	}
}

// Close ends the sending direction at once, and the connection once the other end has
// closed it or the linger time has passed: closing a connection with unread bytes would
// reset it, and the other end would lose the last answer. It resets one with an answer that
// has not ended.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	atOnce, cancel := c.err != nil || c.unended, c.cancel
	c.mu.Unlock()
	if cancel != nil {
		defer cancel()
	}
	if atOnce || !c.acceptor.work.Enter(drainer.Closing) {
		return c.Conn.Close()
	}
	_ = c.CloseWrite() // fails only if the connection has ended, which discard notices
	// Interrupts a Read that is under way.
	_ = c.Conn.SetReadDeadline(aLongTimeAgo)
	go c.drain()
	return nil
}

// drain reads the rest of a closed connection and then closes it.
func (c *conn) drain() {
	defer c.acceptor.work.Leave(drainer.Closing)
	c.inRead.Lock()
	defer c.inRead.Unlock()
	c.stopReadingAhead()
	c.discard()
	_ = c.Conn.Close()
}

// discard reads until the other end closes the connection or the linger time has passed.
func (c *conn) discard() {
	_ = c.Conn.SetReadDeadline(c.acceptor.clock.Now().Add(c.acceptor.linger))
	part := make([]byte, readSize)
	for {
		if _, err := c.Conn.Read(part); err != nil {
			return
		}
	}
}
