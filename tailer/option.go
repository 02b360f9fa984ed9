package tailer

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Option changes a setting of a Tailer.
type Option func(*Tailer)

// WithClock replaces the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(t *Tailer) { t.clock = clock }
}

// WithWait sets how long a read waits for the next record.
func WithWait(wait time.Duration) Option {
	return func(t *Tailer) { t.wait = wait }
}

// WithBackoff bounds the pause after a failed read.
func WithBackoff(first, longest time.Duration) Option {
	return func(t *Tailer) { t.firstPause, t.longestPause = first, longest }
}
