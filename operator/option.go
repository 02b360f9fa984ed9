package operator

import "github.com/jonboulle/clockwork"

// Option configures an Operator.
type Option func(*Operator)

// WithClock replaces the system clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *Operator) { o.clock = clock }
}
