package operator

import "github.com/jonboulle/clockwork"

// Option changes a setting of an Operator.
type Option func(*Operator)

// WithClock replaces the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *Operator) { o.clock = clock }
}
