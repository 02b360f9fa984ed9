package caller

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// conn is a connection that knows when it was opened and when it was last written to and read from.
type conn struct {
	net.Conn
	opened time.Time
	wrote  atomic.Pointer[time.Time]
	read   atomic.Pointer[time.Time]
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		now := time.Now()
		c.read.Store(&now)
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		now := time.Now()
		c.wrote.Store(&now)
	}
	return n, err
}

// dial opens a connection.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	opened, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, opened: time.Now()}, nil
}

// traceConnection records which connection carries a request, and tells it to got.
func traceConnection(ctx context.Context, record *Record, got func(*conn)) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			record.Reused = info.Reused
			if used, ok := info.Conn.(*conn); ok {
				record.Connected = used.opened
				got(used)
			}
		},
	})
}
