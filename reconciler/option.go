package reconciler

import "github.com/jonboulle/clockwork"

// Option changes a setting of a Reconciler.
type Option func(*Reconciler)

// WithClock replaces the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *Reconciler) { r.clock = clock }
}

// WithAppends sets how many appends a second the whole fleet may make when all
// nodes have something to tell at once.
func WithAppends(perSecond int) Option {
	return func(r *Reconciler) { r.perSecond = perSecond }
}
