package monitor

import "github.com/jonboulle/clockwork"

// Option changes a setting of a Monitor.
type Option func(*Monitor)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(m *Monitor) { m.clock = clock }
}
