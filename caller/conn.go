package caller

import (
	"context"
	"net"
	"net/http/httptrace"
	"time"
)

// conn is a connection that knows when it was opened.
type conn struct {
	net.Conn
	opened time.Time
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
func traceConnection(ctx context.Context, record *Record) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			record.Reused = info.Reused
			if used, ok := info.Conn.(*conn); ok {
				record.Connected = used.opened
			}
		},
	})
}
