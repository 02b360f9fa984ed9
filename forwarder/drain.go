package forwarder

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/drainer"
)

// stopTimes are the times of the stop of a node.
type stopTimes struct {
	since, abort time.Time
}

// Stop tells since when the node stops, and when it aborts the requests in flight.
func (f *Forwarder) Stop(since, abort time.Time) {
	f.stopping.Store(&stopTimes{since: since, abort: abort})
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
