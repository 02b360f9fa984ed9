package pooler

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/expirer"
)

const (
	// DefaultDialTimeout bounds the establishment of a connection.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout closes connections that were not used; callers' and backend
	// servers' own timeouts are often longer.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultConnections bounds the connections to one address; a backend server accepts about 360.
	DefaultConnections = 256
	// DefaultAddresses bounds the addresses with pooled connections.
	DefaultAddresses = 4096
)

// Option changes a setting of a Pooler.
type Option func(*Pooler)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(p *Pooler) { p.clock = clock }
}

// WithProgress fails an exchange that makes no progress for this long before the head of
// its response is complete; 0 waits for ever.
func WithProgress(timeout time.Duration) Option {
	return func(p *Pooler) { p.progress = timeout }
}

// WithDialTimeout bounds the establishment of a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(p *Pooler) { p.dialTimeout = timeout }
}

// WithIdleTimeout closes connections that were not used for this long.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(p *Pooler) { p.idleTimeout = timeout }
}

// WithConnections bounds the connections to one address.
func WithConnections(bound int) Option {
	return func(p *Pooler) { p.connections = bound }
}

// WithOpen bounds the open connections to all addresses together; 0 sets no bound.
func WithOpen(bound int) Option {
	return func(p *Pooler) { p.maxOpen = int64(bound) }
}

// WithHeads reserves the memory for the heads of answers; an answer that gets none is broken off.
func WithHeads(memory *accountant.Accountant) Option {
	return func(p *Pooler) { p.heads = memory }
}

// WithExpirer replaces connections that were idle for longer than they last at their address.
func WithExpirer(expirer *expirer.Expirer) Option {
	return func(p *Pooler) { p.expirer = expirer }
}

// WithInterim bounds the answers with status 1xx before the last one. Each costs memory until it is
// collected, so a server that sends them without end is to be cut off soon.
func WithInterim(bound int) Option {
	return func(p *Pooler) { p.maxInterim = bound }
}

// WithMetrics counts the connections that are opened and the exchanges that reuse one
// as NAME.opened and NAME.reused, those that its bounds refuse as NAME.full and NAME.headmemory,
// late answers to earlier requests that are discarded as NAME.strays, requests that are lost on an
// idle connection that was dropped as NAME.dropped, and connections that an Expirer replaces as NAME.expired.
func WithMetrics(registry metrics.Registry, name string) Option {
	return func(p *Pooler) {
		p.opened = metrics.GetOrRegisterCounter(name+".opened", registry)
		p.reused = metrics.GetOrRegisterCounter(name+".reused", registry)
		p.full = metrics.GetOrRegisterCounter(name+".full", registry)
		p.headless = metrics.GetOrRegisterCounter(name+".headmemory", registry)
		p.strays = metrics.GetOrRegisterCounter(name+".strays", registry)
		p.dropped = metrics.GetOrRegisterCounter(name+".dropped", registry)
		p.expired = metrics.GetOrRegisterCounter(name+".expired", registry)
	}
}
