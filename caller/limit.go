package caller

import (
	"context"
	"sync/atomic"
	"time"
)

// patience is how much longer a caller reads an answer that has begun to arrive within the time limit. The limit is one of
// the node: a test process that gets no processor time reads late what the node sent in time.
const patience = 10 * time.Second

// limit is the time limit of a request.
type limit struct {
	ends   time.Time
	cancel context.CancelFunc
	// used is the connection that carries the request.
	used atomic.Pointer[conn]
	// written and read are when bytes were last written to it and read from it.
	written, read atomic.Pointer[time.Time]
	// arrived is when the last bytes of the answer that were read had arrived.
	arrived atomic.Pointer[time.Time]
	// timer ends at the limit.
	timer *time.Timer
}

// newLimit returns a context for a request that was sent at a time, which is done at the limit if nothing of the answer
// has arrived by then.
func newLimit(sent time.Time, length time.Duration) (context.Context, *limit) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &limit{ends: sent.Add(length), cancel: cancel}
	l.timer = time.AfterFunc(time.Until(l.ends), l.pass)
	return ctx, l
}

// pass ends the request at its limit.
func (l *limit) pass() {
	if used := l.connection(); used != nil && used.unread() {
		time.AfterFunc(patience, l.cancel)
		return
	}
	l.cancel()
}

// connection returns the connection that carries the request; nil if there is none or another request has it by now.
func (l *limit) connection() *conn {
	if used := l.used.Load(); used != nil && used.current.Load() == l {
		return used
	}
	return nil
}

// stop releases the context.
func (l *limit) stop() {
	l.timer.Stop()
	l.cancel()
}

// check takes back an outcome whose last bytes arrived after the limit, or at a time that is not known.
func (l *limit) check(record *Record) {
	hasOutcome := record.Result == ResultAnswered || record.Result == ResultRefused || record.Result == ResultUnknown
	if !hasOutcome || !time.Now().After(l.ends) {
		return
	}
	if at := l.arrived.Load(); at != nil {
		record.Arrived = *at
	}
	if record.Arrived.IsZero() || record.Arrived.After(l.ends) {
		record.Reason = string(record.Result) + " after the time limit"
		record.Result = ResultSilent
	}
}
