package configurator

import "github.com/jonboulle/clockwork"

// Option configures an Operator.
type Option func(*Configurator)

// WithClock replaces the system clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *Configurator) { o.clock = clock }
}
