package daemon

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// unusedAge is the age from which an unused connection is closed at the end of a shutdown: its
// other end would have sent the request for which it opened it.
const unusedAge = 250 * time.Millisecond

// unused holds the connections of a server on which no request has begun. http.Server.Shutdown
// waits for those of the last five seconds, and clients that open one connection and then use
// another leave some behind.
type unused struct {
	clock clockwork.Clock

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newUnused(clock clockwork.Clock) *unused {
	return &unused{clock: clock, since: make(map[net.Conn]time.Time)}
}

// observe is the ConnState of an http.Server.
func (u *unused) observe(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.since[c] = u.clock.Now()
		return
	}
	delete(u.since, c)
}

// close closes the connections that have been unused for at least unusedAge.
func (u *unused) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c, since := range u.since {
		if u.clock.Since(since) >= unusedAge {
			c.Close()
		}
	}
}

// closeSoon closes the unused connections, now and after unusedAge, until stop is called.
func (u *unused) closeSoon() (stop func()) {
	u.close()
	timer := u.clock.AfterFunc(unusedAge, u.close)
	return func() { timer.Stop() }
}
