package replicator

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Option changes a setting of a Replicator.
type Option func(*Replicator)

// WithClock replaces the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *Replicator) { r.clock = clock }
}

// WithPeers sets the peers that are queried while the log cannot be read.
func WithPeers(peers Peers) Option {
	return func(r *Replicator) { r.peers = peers }
}

// WithRecorder sets the recorder of the events.
func WithRecorder(recorder Recorder) Option {
	return func(r *Replicator) { r.recorder = recorder }
}

// WithTail replaces the tail that delivers the records.
func WithTail(tail Tail) Option {
	return func(r *Replicator) { r.tail = tail }
}

// WithReadbackTimeout bounds the wait for a record to be read back after its
// append.
func WithReadbackTimeout(limit time.Duration) Option {
	return func(r *Replicator) { r.readbackTimeout = limit }
}
