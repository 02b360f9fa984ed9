package gatekeeper

import (
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cowsliptally.example/cowsliptally/heads/weigher"
)

// conn is a connection that reserves memory for the heads that are read from it.
type conn struct {
	net.Conn
	gate *Gatekeeper
	ip   string
	from *address

	mu sync.Mutex
	// head follows the head that is being read.
	head weigher.Weigher
	// body follows the body behind the last head.
	body weigher.Body
	// waiting holds the weights of the heads that are read and whose requests have not begun.
	waiting []int64
	// inHandler counts the requests that are served; more than one only in HTTP/2.
	inHandler int
	// reserved is the memory reserved for all heads of the connection.
	reserved int64
	// held holds bytes that were read while there was no memory for them.
	held []byte
	// deadline is the read deadline set by the server, headEnd that of the head; the zero
	// time means none.
	deadline, headEnd time.Time
	closed            bool
	// refused is set once a refusal was written or the connection is broken off.
	refused atomic.Bool
}

// Read returns bytes for whose heads memory is reserved. While requests before them run, bytes
// without memory wait; else the connection is refused.
func (c *conn) Read(b []byte) (int, error) {
	n := c.takeHeld(b)
	if n == 0 {
		var err error
		if n, err = c.Conn.Read(b); err != nil {
			c.noteTimeout()
			return n, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed // Close has released the memory
	}
	if c.refused.Load() {
		return 0, io.EOF
	}
	why := c.admit(b[:n], len(b) == 1 && c.inHandler > 0)
	switch {
	case why == "":
		return n, nil
	case c.inHandler > 0 || len(c.waiting) > 0:
		c.held = append(append([]byte(nil), b[:n]...), c.held...)
		return 0, os.ErrDeadlineExceeded
	}
	c.refuse(why)
	return 0, io.EOF
}

// takeHeld returns bytes that were read before.
func (c *conn) takeHeld(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(b, c.held)
	c.held = c.held[n:]
	return n
}

// admit reserves the memory for the heads in bytes, or returns why not. The single byte with
// which the server notices the end of a connection while it serves a request is always admitted:
// an error would end that request. The caller holds mu.
func (c *conn) admit(b []byte, always bool) reason {
	head, body, waiting := c.head, c.body, len(c.waiting)
	var added int64
	for len(b) > 0 {
		if !body.IsEnded() {
			b = b[body.Next(b):]
			continue
		}
		before := head.Weight()
		n, ended := head.Next(b)
		b = b[n:]
		added += head.Weight() - before
		if !always && (head.First() > c.gate.limits.Head || head.Fields() > c.gate.limits.Head) {
			c.waiting = c.waiting[:waiting]
			return reasonSize
		}
		if ended {
			c.waiting = append(c.waiting, head.Weight())
			head, body = weigher.Weigher{}, head.Body()
		}
	}
	if !c.reserve(added) && !always {
		c.waiting = c.waiting[:waiting]
		return reasonMemory
	}
	c.head, c.body = head, body
	c.limitHead()
	return ""
}

// reserve reserves memory, or returns false. The caller holds mu.
func (c *conn) reserve(n int64) bool {
	if n == 0 {
		return true
	}
	if c.reserved+n > c.gate.limits.ConnectionMemory || !c.from.memory.Reserve(n) {
		return false
	}
	c.reserved += n
	return true
}

// release releases memory. The caller holds mu.
func (c *conn) release(n int64) {
	n = min(n, c.reserved)
	c.reserved -= n
	c.from.memory.Release(n)
}

// refuse writes a refusal. No request before it is without an answer: the server reads a head
// once the answers before it are written. The caller holds mu.
func (c *conn) refuse(why reason) {
	c.refused.Store(true)
	c.gate.note(why, c.ip)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	// The connection ends in any case.
	_, _ = io.WriteString(c.Conn, c.gate.head(why))
}

// begin moves the memory of the first head that waits to the request that begins. If none does,
// the head was not read as one, and its memory is reserved now.
func (c *conn) begin(r *http.Request) (reserved int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) > 0 {
		reserved = c.waiting[0]
		c.waiting = slices.Delete(c.waiting, 0, 1) // keeps the array, where usually one waits
	} else if reserved = weigher.Weight(r); !c.reserve(reserved) {
		return 0, false
	}
	c.inHandler++
	return reserved, true
}

// end releases the memory of a request that has ended.
func (c *conn) end(reserved int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHandler--
	c.release(reserved)
	c.limitHead()
}

// Close closes the connection and releases what is reserved for heads that were not begun.
func (c *conn) Close() error {
	c.mu.Lock()
	first, linger := !c.closed, c.refused.Load()
	if first {
		c.closed = true
		for _, weight := range c.waiting {
			c.release(weight)
		}
		c.release(c.head.Weight())
		c.waiting, c.head, c.held = nil, weigher.Weigher{}, nil
	}
	c.mu.Unlock()
	if first && linger {
		go c.drain()
		return nil
	}
	if first {
		defer c.gate.leave(c.ip, c.from)
	}
	return c.Conn.Close()
}

// drain reads what still arrives for a short time and then closes the connection: closing it
// with unread bytes would reset it, and the other end would lose the refusal.
func (c *conn) drain() {
	defer c.gate.leave(c.ip, c.from)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalTime))
	_, _ = io.CopyN(io.Discard, c.Conn, maxDrain)
	_ = c.Conn.Close()
}

// Write writes to the connection, unless it was refused: the server's own answer to the part of
// a head that it got would follow the refusal.
func (c *conn) Write(b []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
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
