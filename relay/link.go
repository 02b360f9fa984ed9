package relay

import (
	"net"
	"sync"
	"sync/atomic"
)

const chunkBytes = 32 << 10

// link is one forwarded connection.
type link struct {
	client, target net.Conn
	silent         atomic.Bool
	done           chan struct{}
	once           sync.Once
}

func newLink(client, target net.Conn) *link {
	return &link{client: client, target: target, done: make(chan struct{})}
}

// run copies both directions until one side closes.
func (l *link) run(forward, back *gate) {
	var copies sync.WaitGroup
	copies.Go(func() { l.copyDirection(l.target, l.client, forward) })
	copies.Go(func() { l.copyDirection(l.client, l.target, back) })
	copies.Wait()
}

// copyDirection copies one direction; a silent link discards what it reads.
func (l *link) copyDirection(to, from net.Conn, gate *gate) {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		if l.silent.Load() && err == nil {
			continue
		}
		if !gate.wait(l.done) {
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

// close closes both connections.
func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.client.Close()
		_ = l.target.Close()
	})
}

// reset closes both connections with a TCP reset.
func (l *link) reset() {
	for _, side := range []net.Conn{l.client, l.target} {
		if connection, ok := side.(*net.TCPConn); ok {
			_ = connection.SetLinger(0) // an already closed connection needs no reset
		}
	}
	l.close()
}
