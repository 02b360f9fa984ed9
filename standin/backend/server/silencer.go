package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// silencer is a listener with a limit of open connections, which can be made
// silent permanently.
type silencer struct {
	net.Listener
	mu    sync.Mutex
	conns map[*silentConn]struct{}
	limit int
}

func newSilencer(listener net.Listener, limit int) *silencer {
	return &silencer{Listener: listener, conns: map[*silentConn]struct{}{}, limit: limit}
}

// Accept returns the next connection; those over the limit are closed.
func (s *silencer) Accept() (net.Conn, error) {
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tracked := &silentConn{Conn: conn, listener: s}
		if s.add(tracked) {
			return tracked, nil
		}
		if err := conn.Close(); err != nil {
			return nil, err
		}
	}
}

func (s *silencer) add(conn *silentConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.limit {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *silencer) remove(conn *silentConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// silence makes all open connections silent except one, which may be nil.
func (s *silencer) silence(excluded net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if net.Conn(conn) != excluded {
			conn.silent.Store(true)
		}
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// silentConn is a connection that drops all data in both directions once it is
// silent.
type silentConn struct {
	net.Conn
	listener *silencer
	silent   atomic.Bool
}

// Read returns received data, or drops it if the connection is silent.
func (c *silentConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends data, or drops it if the connection is silent.
func (c *silentConn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection and stops tracking it.
func (c *silentConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
