package announcer

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	defaultInterval = time.Second
	defaultTimeout  = 800 * time.Millisecond
)

// Option changes a setting of an Announcer.
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

// WithNode sets the client of the node, in place of one that uses Connect over HTTP.
func WithNode(node Node) Option {
	return func(a *Announcer) { a.node = node }
}

// WithErrorHandler sets a function that Run calls with the error of each failed
// announcement.
func WithErrorHandler(handle func(error)) Option {
	return func(a *Announcer) { a.handleError = handle }
}
