package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/adopter"
	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/registrar"
	"cowsliptally.example/cowsliptally/retrier"
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

// WithRegistry sets the registry that holds the metrics.
func WithRegistry(registry metrics.Registry) Option {
	return func(d *Daemon) { d.registry = registry }
}

// WithSource takes the configuration from a source outside the fleet. The node then
// writes nothing to a log service: operators' proposals and agreed ejections are off,
// and each node relies on its own health evaluation and that of owners.
func WithSource(source adopter.Source) Option {
	return func(d *Daemon) { d.source = source }
}

// WithDiscovery sets a function that finds the peer addresses of other nodes at the
// start. It returns once it has found them or ctx is done.
func WithDiscovery(discover func(context.Context) ([]string, error)) Option {
	return func(d *Daemon) { d.discover = discover }
}

// WithDepartures sets where the departures of this VM's backend servers are recorded before they
// are acknowledged.
func WithDepartures(departures registrar.Departures) Option {
	return func(d *Daemon) { d.departures = departures }
}

// WithDialect sets the headers of backend servers; without it they are the fleet's own.
func WithDialect(dialect dispatcher.Dialect) Option {
	return func(d *Daemon) { d.dialect = dialect }
}

// WithAllowance sets this node's share of the fleet's retries, given the number of live nodes.
func WithAllowance(allowance func(nodes int) retrier.Allowance) Option {
	return func(d *Daemon) { d.allowance = allowance }
}

// WithQuota enforces organisations' limits over the whole fleet by a rule. FirstStart tells that the
// whole fleet starts for the first time. A rule that is not set changes nothing.
func WithQuota(rule fleet.QuotaRule, firstStart bool) Option {
	return func(d *Daemon) { d.quotaRule, d.firstStart = rule, firstStart }
}

// WithCallerMiddleware wraps the handler of callers' requests. It also wraps one that gets no response
// writer and only decides whether a request may be begun before its turn.
func WithCallerMiddleware(wrap func(http.Handler) http.Handler) Option {
	return func(d *Daemon) { d.wrapCaller = wrap }
}

// WithGracePeriod sets the times of a shutdown, which are asked for when it begins. Without it
// they are those of the settings.
func WithGracePeriod(grace func() GracePeriod) Option {
	return func(d *Daemon) { d.grace = grace }
}

// WithSettleTime sets the time after the start in which the node does not read the source
// itself, so that it first learns which nodes do.
func WithSettleTime(settle time.Duration) Option {
	return func(d *Daemon) { d.settle = settle }
}

// WithReaders sets the function that returns how many nodes may read the source of the
// configuration while its document has a number of bytes. Without it, a fixed number reads.
func WithReaders(readers func(bytes int) int) Option {
	return func(d *Daemon) { d.readers = readers }
}

// WithBackendLifetime tells that the VM is removed once its last backend server has left. The node is not ready from then
// on, so that callers move before it is told to stop.
func WithBackendLifetime() Option {
	return func(d *Daemon) { d.endsWithBackend = true }
}

// WithStop sets what knows when the node was told to stop and records what its shutdown waits
// for. Without it, a shutdown counts from when Run notices that its context is done.
func WithStop(stop Stop) Option {
	return func(d *Daemon) { d.stop = stop }
}
