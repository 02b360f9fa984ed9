package pooler

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"syscall"
	"time"
)

// reuse is the use of a connection that was idle. Its zero value is that of another one.
type reuse struct {
	conn *conn
	idle time.Duration
	// began is when the request was about to be written, and reads are the reads until then.
	began time.Time
	reads uint64
}

// reuse notes that a request is about to be sent over a connection, and reports whether it must not
// be. net/http takes the connection that was used last, so the idle ones are expired with it.
func (p *Pooler) reuse(ctx context.Context, m Message, info httptrace.GotConnInfo) (r reuse, expired bool) {
	if p.expirer == nil || !info.WasIdle {
		return reuse{}, false
	}
	if wait := p.expirer.Begin(m.Address, info.IdleTime); wait > 0 {
		select {
		case <-p.clock.After(wait):
		case <-ctx.Done():
		}
	}
	if p.expirer.IsExpired(m.Address, info.IdleTime) {
		p.expired.Inc(1)
		p.pool(m.Address).CloseIdleConnections()
		return reuse{}, true
	}
	used := info.Conn.(*conn)
	return reuse{conn: used, idle: info.IdleTime, began: p.clock.Now(), reads: used.reads.Load()}, false
}

// recordAnswer records that the request was answered.
func (p *Pooler) recordAnswer(m Message, r reuse) {
	if r.conn != nil {
		p.expirer.RecordAnswer(m.Address, r.idle)
	}
}

// recordFailure records the failure of a request that was sent, and returns the error with the idle
// time if the connection was dropped.
func (p *Pooler) recordFailure(m Message, e *Exchange, r reuse, err error) error {
	if r.conn == nil || r.conn.reads.Load() != r.reads || !r.conn.wasEnded(err) ||
		!p.expirer.RecordReset(m.Address, r.idle, p.clock.Since(r.began)) {
		return err
	}
	p.dropped.Inc(1)
	e.Dropped = true
	return fmt.Errorf("dropped after %s idle: %w", r.idle.Round(time.Millisecond), err)
}

// wasEnded reports whether the peer ended the connection, in order or not.
func (c *conn) wasEnded(err error) bool {
	return c.ended.Load() || c.reset.Load() || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
