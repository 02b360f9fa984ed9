package registrar

import (
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	defaultLease    = 3 * time.Second
	defaultInterval = 250 * time.Millisecond
)

// Watcher is told of each change of a backend server, in order.
type Watcher interface {
	BackendChanged(fleet.Backend)
}

// Directory tells what the fleet knows of a backend server.
type Directory interface {
	Backend(fleet.BackendID) (fleet.Backend, bool)
}

// Counter tells how many requests run on a backend server.
type Counter interface {
	InFlight(fleet.BackendID) int
}

// Journal takes events.
type Journal interface {
	Record(fleet.Event)
}

// Option changes a registrar's settings.
type Option func(*Registrar)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *Registrar) { r.clock = clock }
}

// WithLease sets how long an announcement is good for.
func WithLease(lease time.Duration) Option {
	return func(r *Registrar) { r.lease = lease }
}

// WithDirectory sets where a backend server's last owner and sequence are looked up.
func WithDirectory(directory Directory) Option {
	return func(r *Registrar) { r.directory = directory }
}

// WithCounter sets who counts the requests in flight.
func WithCounter(counter Counter) Option {
	return func(r *Registrar) { r.counter = counter }
}

// WithJournal sets who takes events.
func WithJournal(journal Journal) Option {
	return func(r *Registrar) { r.journal = journal }
}
