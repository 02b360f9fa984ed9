package pooler

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cowsliptally.example/cowsliptally/heads/weigher"
)

// past is a deadline that ends a write at once.
var past = time.Unix(1, 0)

// upload follows the request that is written to a connection. Its zero value is that of a
// connection to which none was.
type upload struct {
	// pending is set until the request was written whole; a failed write leaves it set.
	pending atomic.Bool

	// mu is held while bytes are written.
	mu     sync.Mutex
	inHead bool
	head   weigher.Weigher
	body   weigher.Body
}

// begin notes that a request will be written.
func (u *upload) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inHead, u.head = true, weigher.Weigher{}
	u.pending.Store(true)
}

// write writes bytes of the request.
func (u *upload) write(c net.Conn, b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, err := c.Write(b)
	if err == nil {
		u.follow(b)
	}
	return n, err
}

// follow follows bytes that were written. The caller holds mu.
func (u *upload) follow(b []byte) {
	if u.inHead {
		n, ended := u.head.Next(b)
		if !ended {
			return
		}
		u.inHead, u.body, b = false, u.head.Body(), b[n:]
	}
	u.body.Next(b)
	if u.body.IsEnded() {
		u.pending.Store(false)
	}
}

// stop fails a write in progress, as the peer has ended the connection, and reports whether the
// request was written whole.
func (u *upload) stop(c net.Conn) (whole bool) {
	if !u.pending.Load() {
		return true
	}
	_ = c.SetWriteDeadline(past) // it may be closed already
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.pending.Load()
}
