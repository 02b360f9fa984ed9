package gatekeeper_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/heads/gatekeeper"
)

// lateConn is a connection whose Read returns a head that arrived just before it was closed.
type lateConn struct {
	net.Conn
	reading, closed chan struct{}
}

func (c *lateConn) Read(b []byte) (int, error) {
	close(c.reading)
	<-c.closed
	return copy(b, head("/", 100)), nil
}

func (c *lateConn) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

// TestReadThatMeetsTheCloseReservesNothing guards against memory for a head that is reserved after the
// connection has released all of its memory, and so for good.
func TestReadThatMeetsTheCloseReservesNothing(t *testing.T) {
	is := is.New(t)
	l := limits()
	l.Memory = accountant.New(worst)
	p := &pipes{made: make(chan net.Conn, 1), ended: make(chan struct{})}
	client, served := net.Pipe()
	defer func() { _ = client.Close() }()
	late := &lateConn{served, make(chan struct{}), make(chan struct{})}
	p.made <- late
	c, err := gatekeeper.New(p, l).Accept()
	is.NoErr(err)
	read := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, maxHead))
		read <- err
	}()
	<-late.reading
	is.NoErr(c.Close())
	err = <-read
	is.Equal(l.Memory.Reserved(), int64(0))
	is.True(err != nil)
}
