package gatekeeper

import (
	"strings"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
)

// Option changes a setting of a gatekeeper.
type Option func(*Gatekeeper)

// WithClock replaces the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(g *Gatekeeper) { g.clock = clock }
}

// WithLogger sets where log lines go; without one none are written.
func WithLogger(logger *log.Logger) Option {
	return func(g *Gatekeeper) { g.logger = logger }
}

// WithRegistry counts refusals as heads.NAME.REASON and connections as heads.NAME.connections.
func WithRegistry(registry metrics.Registry, name string) Option {
	return func(g *Gatekeeper) { g.registry, g.name = registry, name }
}

// WithRefusalLines adds header lines to the refusals of requests that were not read.
func WithRefusalLines(lines ...string) Option {
	return func(g *Gatekeeper) { g.lines = strings.Join(append(lines, ""), "\r\n") }
}
