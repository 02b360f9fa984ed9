package pooler

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxRefusals bounds the refusals over one connection before it is closed.
const maxRefusals = 64

// headEnd ends the head of a response.
const headEnd = "\r\n\r\n"

// conn is a connection that counts the calls that transfer bytes.
type conn struct {
	net.Conn
	opened time.Time
	reads  atomic.Uint64
	writes atomic.Uint64
	// broken is set when the connection must not be used again.
	broken, closed atomic.Bool
	// ended is set when the peer closed the connection in order: all that it wrote was read. An
	// end before the request was written whole does not count, as it may be a reset.
	ended atomic.Bool
	// reset is set when the peer reset the connection. A write that meets the close which follows does not
	// tell it.
	reset  atomic.Bool
	upload upload
	// tail holds the last bytes read. Only the goroutine that reads uses it before ended is set.
	tail [len(headEnd)]byte

	// answer reserves memory for the heads of answers, and onClose ends the count of the
	// connection; each may be nil in tests.
	answer  *answer
	onClose func()
	// strays removes late answers to earlier requests.
	strays strays

	mu sync.Mutex
	// refused holds the requests that were refused over the connection.
	refused []string
}

// recordRefusal records that a request was refused over the connection, and closes the
// connection if it has too many to remember.
func (c *conn) recordRefusal(id string) {
	c.mu.Lock()
	c.refused = append(c.refused, id)
	full := len(c.refused) >= maxRefusals
	c.mu.Unlock()
	if full {
		c.breakOff()
	}
}

// hasRefused reports whether a request was refused over the connection.
func (c *conn) hasRefused(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.refused, id)
}

// breakOff closes the connection. A request that gets it from the pool meanwhile is not
// written, and goes to another one.
func (c *conn) breakOff() {
	c.broken.Store(true)
	_ = c.Close() // it may be closed already
}

// wroteNothing reports whether the connection was broken off and nothing was written since
// its count of writes had a value.
func (c *conn) wroteNothing(before uint64) bool {
	return c.broken.Load() && c.writes.Load() == before
}

// begin notes that an exchange begins.
func (c *conn) begin() {
	c.answer.begin()
	c.upload.begin()
}

// Read reads from the connection, without late answers to earlier requests.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.strays.read(c, b)
	if !c.answer.admit(b[:n]) {
		return 0, errHeads
	}
	return n, err
}

// receive reads what the peer sent.
func (c *conn) receive(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.reads.Add(1)
		read := append(c.tail[:], b[max(0, n-len(c.tail)):n]...)
		copy(c.tail[:], read[len(read)-len(c.tail):])
	}
	if errors.Is(err, syscall.ECONNRESET) {
		c.reset.Store(true)
	}
	if errors.Is(err, io.EOF) {
		c.ended.Store(c.upload.stop(c.Conn))
	}
	return n, err
}

// endedAfterHead reports whether the peer closed the connection in order, directly after
// the head of a response. A reset does not count: it may have overtaken bytes of the peer.
func (c *conn) endedAfterHead() bool {
	return c.ended.Load() && string(c.tail[:]) == headEnd
}

// Close closes the connection and releases what is reserved for it.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.answer.close()
		if c.onClose != nil {
			c.onClose()
		}
	}
	return c.Conn.Close()
}

// Write increments the count before it writes, so that a count that is unchanged
// after Close proves that nothing was written. A write that failed with its first byte does
// not count: the kernel took nothing.
func (c *conn) Write(b []byte) (int, error) {
	if c.broken.Load() {
		return 0, net.ErrClosed
	}
	c.writes.Add(1)
	n, err := c.upload.write(c.Conn, b)
	if n == 0 && err != nil {
		c.writes.Add(^uint64(0))
	}
	return n, err
}

// transfers returns a count that changes whenever bytes are transferred.
func (c *conn) transfers() uint64 { return c.reads.Load() + c.writes.Load() }
