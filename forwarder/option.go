package forwarder

import (
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/deduplicator"
	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/identity/tabulator"
	"cowsliptally.example/cowsliptally/limiter"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/retrier"
)

const (
	// DefaultTimeout is the time limit of requests that set none.
	DefaultTimeout = 10 * time.Second
	// MaxTimeout is the longest time limit.
	MaxTimeout = 5 * time.Minute
	// DefaultMaxBodySize is the maximum size of a request body in bytes.
	DefaultMaxBodySize = 8 << 20
	// DefaultMaxAnswerSize is the maximum size in bytes of an answer that is buffered until
	// it is complete; larger ones are streamed.
	DefaultMaxAnswerSize = 1 << 20
	// DefaultMemory bounds the total bytes of all bodies held at a time.
	DefaultMemory = 24 << 20
	// memoryShares divides the memory between bodies and answers of ingress and owner,
	// so that slow callers cannot take all of it.
	memoryShares = 4
	// DefaultProgress is the time without a sign of life after which a connection is
	// suspected; it exceeds the interval of owners' signs of life.
	DefaultProgress = 350 * time.Millisecond
	// DefaultWriteTimeout bounds the writing of one part of an answer to a slow caller.
	DefaultWriteTimeout = 10 * time.Second
	// peerCallTimeout bounds one call to another node about a request.
	peerCallTimeout = 250 * time.Millisecond
	// maxNoWaitBody is the largest body that is sent in a no-wait attempt, in bytes.
	maxNoWaitBody = 16 << 10
	// DeadlineSlack bounds how long after its deadline a caller gets its answer: the time to seal an
	// attempt, and then to release its key.
	DeadlineSlack = 2*peerCallTimeout + 50*time.Millisecond
)

// Option changes a part or setting of a Forwarder.
type Option func(*Forwarder)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(f *Forwarder) { f.clock = clock }
}

// WithObserver sets the observer of the results of attempts.
func WithObserver(observer Observer) Option {
	return func(f *Forwarder) { f.observer = observer }
}

// WithDepartures sets what records the backend servers that leave.
func WithDepartures(departures Departures) Option {
	return func(f *Forwarder) { f.departures = departures }
}

// WithRecorder sets the recorder of events.
func WithRecorder(recorder Recorder) Option {
	return func(f *Forwarder) { f.recorder = recorder }
}

// WithRetrier sets the retrier, which decides about retries.
func WithRetrier(r *retrier.Retrier) Option {
	return func(f *Forwarder) { f.retrier = r }
}

// WithLimiter sets the limiter, which enforces organisations' limits.
func WithLimiter(l *limiter.Limiter) Option {
	return func(f *Forwarder) { f.limiter = l }
}

// WithTabulator sets the counters of organisations' requests.
func WithTabulator(t *tabulator.Tabulator) Option {
	return func(f *Forwarder) { f.tabulator = t }
}

// WithQuota enforces organisations' limits over the whole fleet, instead of at this node only.
func WithQuota(quota Quota) Option {
	return func(f *Forwarder) { f.quota = quota }
}

// WithDeduplicator sets the deduplicator of this node, which must be the dispatcher's.
func WithDeduplicator(d *deduplicator.Deduplicator) Option {
	return func(f *Forwarder) { f.deduplicator = d }
}

// WithQuarantiner sets the record of suspect requests, which must be the dispatcher's.
func WithQuarantiner(q *quarantiner.Quarantiner) Option {
	return func(f *Forwarder) { f.quarantiner = q }
}

// WithPooler sets the pool of connections to other nodes.
func WithPooler(p *pooler.Pooler) Option {
	return func(f *Forwarder) { f.pooler = p }
}

// WithMemory sets the memory limit of all bodies, shared with other parts of the node.
func WithMemory(a *accountant.Accountant) Option {
	return func(f *Forwarder) { f.memory = a }
}

// WithDrainer sets the node's count of work in flight.
func WithDrainer(work *drainer.Drainer) Option {
	return func(f *Forwarder) { f.work = work }
}

// WithTimeout sets the time limit of requests that set none.
func WithTimeout(timeout time.Duration) Option {
	return func(f *Forwarder) { f.timeout = timeout }
}

// WithMaxBodySize sets the maximum size of a request body in bytes.
func WithMaxBodySize(bound int64) Option {
	return func(f *Forwarder) { f.maxBodySize = bound }
}

// WithMaxAnswerSize sets the maximum size in bytes of an answer that is buffered until it
// is complete.
func WithMaxAnswerSize(bound int64) Option {
	return func(f *Forwarder) { f.maxAnswerSize = bound }
}

// WithWriteTimeout bounds the writing of one part of an answer to a slow caller.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(f *Forwarder) { f.writeTimeout = timeout }
}

// WithNoWaitAttempts sets the maximum number of no-wait attempts of a submission before it waits
// at a backend server; without it, it waits at the first.
func WithNoWaitAttempts(attempts int) Option {
	return func(f *Forwarder) { f.maxNoWaitAttempts = attempts }
}

// WithRetryOnError repeats idempotent requests that a backend server answered with an error.
func WithRetryOnError() Option {
	return func(f *Forwarder) { f.repeatErrors = true }
}

// WithChecker sets the checker to which unreachable nodes are reported.
func WithChecker(checker Checker) Option {
	return func(f *Forwarder) { f.checker = checker }
}
