package registrar

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	defaultLease = 3 * time.Second
	// sweepsPerLease keeps a lease from expiring late by more than a quarter of it.
	sweepsPerLease   = 4
	minSweepInterval = 5 * time.Millisecond
	maxSweepInterval = 250 * time.Millisecond
)

// Watcher is notified of changes of backend servers.
type Watcher interface {
	// BackendChanged is called for each change, in order.
	BackendChanged(fleet.Backend)
}

// Directory looks up backend servers of the whole fleet.
type Directory interface {
	// Backend returns the fleet's entry of a backend server.
	Backend(fleet.BackendID) (fleet.Backend, bool)
	// HasLeft reports whether a backend server said lately that it leaves the VM of an owner.
	HasLeft(id fleet.BackendID, owner fleet.NodeID) bool
}

// Counter counts requests.
type Counter interface {
	// InFlight returns the number of requests that run on a backend server.
	InFlight(fleet.BackendID) int
}

// Departures are the backend servers that left this VM, recorded where they outlive the process
// of the node.
type Departures interface {
	// Ready waits until the departures that earlier processes recorded are known.
	Ready(ctx context.Context) error
	// Contains reports whether a backend server left, as far as is known.
	Contains(fleet.BackendID) bool
	// Record records a departure, which may stand for earlier starts of the backend server as
	// well. After an error it may not outlive the process.
	Record(ctx context.Context, id fleet.BackendID) error
}

// Journal records events.
type Journal interface {
	Record(fleet.Event)
}

// Option changes a setting of a Registrar.
type Option func(*Registrar)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *Registrar) { r.clock = clock }
}

// WithLease sets the time for which an announcement is valid.
func WithLease(lease time.Duration) Option {
	return func(r *Registrar) { r.lease = lease }
}

// WithDirectory sets the directory in which the last sequence number of a newly
// announced backend server is looked up.
func WithDirectory(directory Directory) Option {
	return func(r *Registrar) { r.directory = directory }
}

// WithDepartures sets where departures are recorded before they are acknowledged. Without it they
// are only kept by this process and by nodes that were told.
func WithDepartures(departures Departures) Option {
	return func(r *Registrar) { r.departures = departures }
}

// WithCounter sets the counter of the requests in flight.
func WithCounter(counter Counter) Option {
	return func(r *Registrar) { r.counter = counter }
}

// WithJournal sets the recorder of events.
func WithJournal(journal Journal) Option {
	return func(r *Registrar) { r.journal = journal }
}
