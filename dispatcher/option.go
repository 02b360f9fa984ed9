package dispatcher

import (
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/deduplicator"
	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/sealer"
)

const (
	// DefaultBodyBound is the largest request body in bytes.
	DefaultBodyBound = 8 << 20
	// DefaultAnswerBound is the largest answer in bytes that is buffered until it is complete.
	DefaultAnswerBound = 1 << 20
	// DefaultMemory is the largest total size in bytes of all bodies at a time.
	DefaultMemory = 24 << 20
	// memoryShares divides the memory between bodies and answers of ingress and owner.
	memoryShares = 4
	// DefaultWriteTimeout bounds the writing of one part of an answer: longer than an ingress waits
	// for a caller that takes nothing.
	DefaultWriteTimeout = 15 * time.Second
	// DefaultHeartbeat is the interval between heartbeats while a request runs.
	DefaultHeartbeat = 250 * time.Millisecond
	// DefaultProgressTimeout is the time without a byte after which a connection to a backend server
	// is considered silent.
	DefaultProgressTimeout = time.Second
	// memberInterval is the interval between two updates of the members.
	memberInterval = time.Second
	// probeTimeout bounds the new connection that distinguishes a crash from a lost
	// connection.
	probeTimeout = 250 * time.Millisecond
	// crashProbes and crashProbeInterval are the number of probes that distinguish a crash
	// from a lost connection, and the time between two: an exiting process closes its port within
	// some ten milliseconds even on a busy VM.
	crashProbes        = 3
	crashProbeInterval = 30 * time.Millisecond
	// reportTimeout bounds the wait for the report of a crash to reach the peers before the
	// caller is answered.
	reportTimeout = 250 * time.Millisecond
)

// Option changes a part or setting of a Dispatcher.
type Option func(*Dispatcher)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(d *Dispatcher) { d.clock = clock }
}

// WithConfigurationSource sets the source of the configuration revision.
func WithConfigurationSource(configurations ConfigurationSource) Option {
	return func(d *Dispatcher) { d.configurations = configurations }
}

// WithObserver sets the receiver of the results of attempts.
func WithObserver(observer Observer) Option {
	return func(d *Dispatcher) { d.observer = observer }
}

// WithRecorder sets the recorder of events.
func WithRecorder(recorder Recorder) Option {
	return func(d *Dispatcher) { d.recorder = recorder }
}

// WithSuspectReporter sets what reports suspects to the other nodes.
func WithSuspectReporter(reporter SuspectReporter) Option {
	return func(d *Dispatcher) { d.suspectReporter = reporter }
}

// WithSealer sets the record of dispatched and sealed attempts.
func WithSealer(s *sealer.Sealer) Option {
	return func(d *Dispatcher) { d.sealer = s }
}

// WithDeduplicator sets the deduplicator of idempotency keys.
func WithDeduplicator(keys *deduplicator.Deduplicator) Option {
	return func(d *Dispatcher) { d.deduplicator = keys }
}

// WithQuarantiner sets the record of suspects.
func WithQuarantiner(q *quarantiner.Quarantiner) Option {
	return func(d *Dispatcher) { d.quarantiner = q }
}

// WithPooler sets the pool of connections to backend servers.
func WithPooler(p *pooler.Pooler) Option {
	return func(d *Dispatcher) { d.pooler = p }
}

// WithMemory sets the memory bound of all bodies, shared with other parts of the node.
func WithMemory(a *accountant.Accountant) Option {
	return func(d *Dispatcher) { d.memory = a }
}

// WithMaxBodySize sets the largest request body in bytes.
func WithMaxBodySize(bound int64) Option {
	return func(d *Dispatcher) { d.bodyBound = bound }
}

// WithMaxAnswerSize sets the largest answer in bytes that is buffered until it is complete.
func WithMaxAnswerSize(bound int64) Option {
	return func(d *Dispatcher) { d.answerBound = bound }
}

// WithDrainer sets the node's count of work in flight.
func WithDrainer(work *drainer.Drainer) Option {
	return func(d *Dispatcher) { d.work = work }
}

// WithMembers sets the source of the nodes that may grant idempotency keys.
func WithMembers(members Members) Option {
	return func(d *Dispatcher) { d.members = members }
}

// WithHeartbeat sets the interval between heartbeats while a request runs.
func WithHeartbeat(spacing time.Duration) Option {
	return func(d *Dispatcher) { d.heartbeat = spacing }
}

// WithWriteTimeout bounds the writing of one part of an answer to an ingress.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(d *Dispatcher) { d.writeTimeout = timeout }
}

// WithFailureEstimates enables the failure estimate of each backend server. Attempts are refused
// while their backend server is suspected failing, except trial requests and forced ones.
func WithFailureEstimates() Option {
	return func(d *Dispatcher) { d.estimates = true }
}

// WithDialect sets the headers of backend servers; without it they are the fleet's own.
func WithDialect(dialect Dialect) Option {
	return func(d *Dispatcher) { d.dialect = dialect }
}

// WithRequiredEcho has backend servers repeat each request's identifier in its answer. An
// answer without one that comes over a connection in use again may belong to an earlier
// request, and is not accepted.
func WithRequiredEcho() Option {
	return func(d *Dispatcher) { d.requireEcho = true }
}

// WithUndelimitedAnswers accepts answers without a length, which end when their connection does.
// A connection reset, or an end before the request was sent whole, shows that the answer may be
// incomplete; a later early close cannot be distinguished from its end.
func WithUndelimitedAnswers() Option {
	return func(d *Dispatcher) { d.undelimited = true }
}

// WithRetryBudget sets the retry budget that is charged for retries which exceed other nodes'
// budgets; without one they are refused.
func WithRetryBudget(budget RetryBudget) Option {
	return func(d *Dispatcher) { d.retryBudget = budget }
}
