package terminator

import "github.com/jonboulle/clockwork"

// Option changes a setting of a Terminator.
type Option func(*Terminator)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(t *Terminator) { t.clock = clock }
}
