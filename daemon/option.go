package daemon

import (
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
)

// Option changes a setting of a Daemon.
type Option func(*Daemon)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(d *Daemon) { d.clock = clock }
}

// WithLogger sets where log lines go; without one none are written.
func WithLogger(logger *log.Logger) Option {
	return func(d *Daemon) { d.logger = logger }
}
