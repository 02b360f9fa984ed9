package relay

import (
	"net"
	"sync"
	"sync/atomic"
)

const chunkBytes = 32 << 10

// link is one connection that is passed on.
type link struct {
	near, far net.Conn
	silent    atomic.Bool
	done      chan struct{}
	once      sync.Once
}

func newLink(near, far net.Conn) *link {
	return &link{near: near, far: far, done: make(chan struct{})}
}

// run copies both directions until one side closes.
func (l *link) run(forward, back *gate) {
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(l.far, l.near, forward) })
	pumps.Go(func() { l.pump(l.near, l.far, back) })
	pumps.Wait()
}

// pump copies one direction; a silent link swallows what it reads.
func (l *link) pump(to, from net.Conn, gate *gate) {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		if l.silent.Load() && err == nil {
			continue
		}
		if !gate.pass(l.done) {
			return
		}
		if l.silent.Load() {
			<-l.done
			return
		}
		if n > 0 {
			if _, err := to.Write(chunk[:n]); err != nil {
				l.close()
				return
			}
		}
		if err != nil {
			l.close()
			return
		}
	}
}

// close ends both connections.
func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.near.Close()
		_ = l.far.Close()
	})
}

// reset ends both connections without a clean end.
func (l *link) reset() {
	for _, side := range []net.Conn{l.near, l.far} {
		if connection, ok := side.(*net.TCPConn); ok {
			_ = connection.SetLinger(0) // a connection that is closed already needs none
		}
	}
	l.close()
}
