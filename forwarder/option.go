package forwarder

import (
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/guard"
	"cowsliptally.example/cowsliptally/limiter"
	"cowsliptally.example/cowsliptally/poisoner"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/retrier"
)

const (
	// DefaultTimeout is the time limit of requests that set none.
	DefaultTimeout = 10 * time.Second
	// MaxTimeout is the longest time limit.
	MaxTimeout = 5 * time.Minute
	// DefaultBodyBound is the largest request body in bytes.
	DefaultBodyBound = 8 << 20
	// DefaultAnswerBound is the largest answer in bytes that is held until it is whole.
	DefaultAnswerBound = 1 << 20
	// DefaultMemory bounds the bytes of all bodies at a time.
	DefaultMemory = 24 << 20
	// memoryShares divides the memory between bodies and answers of ingress and owner,
	// so that slow callers cannot take all of it.
	memoryShares = 4
	// DefaultProgress is the time without a sign of life after which a connection is
	// suspected, more than the spacing of owners' signs of life.
	DefaultProgress = 350 * time.Millisecond
	// DefaultWriteTimeout bounds the writing of one part of an answer to a slow caller.
	DefaultWriteTimeout = 10 * time.Second
	// sealTimeout bounds one call to another node about a request.
	sealTimeout = 250 * time.Millisecond
	// maxGlanceBody is the largest body that is sent to look for a free slot, in bytes.
	maxGlanceBody = 16 << 10
	// Slack bounds how long after its deadline a caller hears: the time to seal an
	// attempt, and then to give back its key.
	Slack = 2*sealTimeout + 50*time.Millisecond
)

// Option changes a part or setting of a Forwarder.
type Option func(*Forwarder)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(f *Forwarder) { f.clock = clock }
}

// WithObserver sets what takes the results of attempts.
func WithObserver(observer Observer) Option {
	return func(f *Forwarder) { f.observer = observer }
}

// WithRecorder sets what takes events.
func WithRecorder(recorder Recorder) Option {
	return func(f *Forwarder) { f.recorder = recorder }
}

// WithRetrier sets what decides about retries.
func WithRetrier(r *retrier.Retrier) Option {
	return func(f *Forwarder) { f.retrier = r }
}

// WithLimiter sets what holds organisations to their limits.
func WithLimiter(l *limiter.Limiter) Option {
	return func(f *Forwarder) { f.limiter = l }
}

// WithGuard sets the guard of this node, which must be the dispatcher's.
func WithGuard(g *guard.Guard) Option {
	return func(f *Forwarder) { f.guard = g }
}

// WithPoisoner sets the record of suspects, which must be the dispatcher's.
func WithPoisoner(p *poisoner.Poisoner) Option {
	return func(f *Forwarder) { f.poisoner = p }
}

// WithPooler sets the connections to other nodes.
func WithPooler(p *pooler.Pooler) Option {
	return func(f *Forwarder) { f.pooler = p }
}

// WithMemory sets the bound of all bodies, shared with other parts of the node.
func WithMemory(a *accountant.Accountant) Option {
	return func(f *Forwarder) { f.memory = a }
}

// WithTimeout sets the time limit of requests that set none.
func WithTimeout(timeout time.Duration) Option {
	return func(f *Forwarder) { f.timeout = timeout }
}

// WithBodyBound sets the largest request body in bytes.
func WithBodyBound(bound int64) Option {
	return func(f *Forwarder) { f.bodyBound = bound }
}

// WithAnswerBound sets the largest answer in bytes that is held until it is whole.
func WithAnswerBound(bound int64) Option {
	return func(f *Forwarder) { f.answerBound = bound }
}

// WithWriteTimeout bounds the writing of one part of an answer to a slow caller.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(f *Forwarder) { f.writeTimeout = timeout }
}

// WithGlances lets a submission look for a free slot at this many backend servers before
// it waits at one; without it, it waits at the first.
func WithGlances(glances int) Option {
	return func(f *Forwarder) { f.maxGlances = glances }
}

// WithRepeatErrors repeats idempotent requests that a backend server answered with an error.
func WithRepeatErrors() Option {
	return func(f *Forwarder) { f.repeatErrors = true }
}

// WithChecker sets who is told of nodes that met a request with silence.
func WithChecker(checker Checker) Option {
	return func(f *Forwarder) { f.checker = checker }
}
