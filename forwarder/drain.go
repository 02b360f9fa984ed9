package forwarder

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/drainer"
)

// writeTime is the time before the end of a node in which it makes no more calls about requests, but writes
// their answers.
const writeTime = 50 * time.Millisecond

// stopTimes are the times of the stop of a node.
type stopTimes struct {
	since, abort, end time.Time
}

// Stop tells since when the node stops, when it aborts all requests in flight, and when it ends.
func (f *Forwarder) Stop(since, abort, end time.Time) {
	f.stopping.Store(&stopTimes{since: since, abort: abort, end: end})
}

// latestAnswer returns until when a submission may be answered: its deadline, or the time at which this
// node aborts it.
func (f *Forwarder) latestAnswer(s *submission) time.Time {
	if stopping := f.stopping.Load(); stopping != nil && stopping.abort.Before(s.deadline) {
		return stopping.abort
	}
	return s.deadline
}

// Drain refuses new requests; those in flight continue.
func (f *Forwarder) Drain() { f.work.Close(drainer.Requests) }

// DrainAt refuses new requests from a time on. After a stall of the process that lasted beyond that time, a request may
// be read before the timer of the shutdown fires.
func (f *Forwarder) DrainAt(at time.Time) { f.drainAt.Store(&at) }

// enter admits a request, unless the forwarder drains.
func (f *Forwarder) enter() bool {
	if at := f.drainAt.Load(); at != nil && !f.clock.Now().Before(*at) {
		f.Drain()
	}
	return f.work.Enter(drainer.Requests)
}

// callTimeout returns the time limit of a call to another node without which a request is not answered.
func (f *Forwarder) callTimeout() time.Duration {
	stopping := f.stopping.Load()
	if stopping == nil {
		return peerCallTimeout
	}
	return min(peerCallTimeout, stopping.end.Add(-writeTime).Sub(f.clock.Now()))
}

// AbortWaiting aborts the requests in flight at which no backend server can be at work. Those that go on are
// counted as drainer.LateRequests.
func (f *Forwarder) AbortWaiting() { f.abortWaiting() }

// Abort aborts the requests in flight as if their deadlines had passed, so that their
// callers get an answer before the node stops.
func (f *Forwarder) Abort() { f.abort() }

// Shutdown drains the forwarder and waits until the node has no work in flight of the kinds
// that it admits no more.
func (f *Forwarder) Shutdown(ctx context.Context) error {
	f.Drain()
	defer f.Close()
	return f.work.Wait(ctx)
}

// Close closes the connections to other nodes that are not in use.
func (f *Forwarder) Close() { f.pooler.Close() }
