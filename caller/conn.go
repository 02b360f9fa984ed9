package caller

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection that knows when it was opened, and tells the request that has it when it writes and reads.
type conn struct {
	net.Conn
	opened time.Time
	// before is the number of bytes that had arrived when the current request got the connection.
	before atomic.Uint64
	// current is the limit of the last request that got the connection.
	current atomic.Pointer[limit]
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if current := c.current.Load(); n > 0 && current != nil {
		now, at := time.Now(), c.arrival()
		current.read.Store(&now)
		current.arrived.Store(&at)
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if current := c.current.Load(); n > 0 && current != nil {
		now := time.Now()
		current.written.Store(&now)
	}
	return n, err
}

// begin is called when a request gets the connection.
func (c *conn) begin(l *limit) {
	if info, err := c.info(); err == nil {
		c.before.Store(info.Bytes_received)
	}
	c.current.Store(l)
	l.used.Store(c)
}

// unread reports whether bytes of the current answer have arrived.
func (c *conn) unread() bool {
	info, err := c.info()
	return err == nil && info.Bytes_received > c.before.Load()
}

// arrival returns when the last bytes that were read arrived. The kernel tells it, so it does not depend on when this
// process got to read them.
func (c *conn) arrival() time.Time {
	info, err := c.info()
	if err != nil {
		return time.Now()
	}
	since := time.Duration(info.Last_data_recv) * time.Millisecond
	return time.Now().Add(-since)
}

// info returns what the kernel knows about the connection.
func (c *conn) info() (info *unix.TCPInfo, err error) {
	socket, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return nil, errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(err, failure)
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

// traceConnection records which connection carries a request.
func traceConnection(ctx context.Context, record *Record, l *limit) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			record.Reused = info.Reused
			if used, ok := info.Conn.(*conn); ok {
				record.Connected = used.opened
				used.begin(l)
			}
		},
	})
}
