package pooler

import (
	"net"
	"sync/atomic"
)

// conn counts the calls that move bytes over a connection.
type conn struct {
	net.Conn
	reads  atomic.Uint64
	writes atomic.Uint64
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// Write counts before it writes, so that a count that stands still after Close
// proves that nothing was written.
func (c *conn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// moves changes whenever bytes moved.
func (c *conn) moves() uint64 { return c.reads.Load() + c.writes.Load() }
