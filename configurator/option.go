package configurator

import "github.com/jonboulle/clockwork"

// Option configures a Configurator.
type Option func(*Configurator)

// WithClock replaces the system clock.
func WithClock(clock clockwork.Clock) Option {
	return func(c *Configurator) { c.clock = clock }
}
