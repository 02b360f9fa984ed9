package reconciler

import "github.com/jonboulle/clockwork"

// Option changes a setting of a Reconciler.
type Option func(*Reconciler)

// WithClock replaces the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *Reconciler) { r.clock = clock }
}

// WithAppendRate sets how many appends a second the whole fleet may make when all
// nodes have records to append at once.
func WithAppendRate(perSecond int) Option {
	return func(r *Reconciler) { r.appendsPerSecond = perSecond }
}
