package checkpointer

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Option changes a setting of a Checkpointer.
type Option func(*Checkpointer)

// WithClock replaces the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(c *Checkpointer) { c.clock = clock }
}

// WithRecorder sets the recorder of checkpoints that could not be appended.
func WithRecorder(recorder Recorder) Option {
	return func(c *Checkpointer) { c.recorder = recorder }
}

// WithMaxInterval sets the maximum time between checkpoints; it must be well below
// the log service's retention time.
func WithMaxInterval(interval time.Duration) Option {
	return func(c *Checkpointer) { c.maxInterval = interval }
}

// WithMaxRecords sets the maximum number of records between checkpoints.
func WithMaxRecords(records uint64) Option {
	return func(c *Checkpointer) { c.maxRecords = records }
}

// WithPartBytes bounds the size of one record of a checkpoint.
func WithPartBytes(bytes int) Option {
	return func(c *Checkpointer) { c.partBytes = bytes }
}
