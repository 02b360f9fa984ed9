package announcer

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	defaultInterval = time.Second
	defaultTimeout  = 800 * time.Millisecond
)

// Option changes an announcer's settings.
type Option func(*Announcer)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(a *Announcer) { a.clock = clock }
}

// WithInterval sets the time between announcements; it must be well below the lease.
func WithInterval(interval time.Duration) Option {
	return func(a *Announcer) { a.interval = interval }
}

// WithTimeout sets the time limit of one call.
func WithTimeout(timeout time.Duration) Option {
	return func(a *Announcer) { a.timeout = timeout }
}

// WithNode sets how the node is called, in place of Connect over HTTP.
func WithNode(node Node) Option {
	return func(a *Announcer) { a.node = node }
}

// WithFailure sets a function that is told of each failed announcement.
func WithFailure(failure func(error)) Option {
	return func(a *Announcer) { a.failure = failure }
}
