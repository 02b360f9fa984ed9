package dispatcher

import (
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/guard"
	"cowsliptally.example/cowsliptally/poisoner"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/sealer"
)

const (
	// DefaultBodyBound is the largest request body in bytes.
	DefaultBodyBound = 8 << 20
	// DefaultAnswerBound is the largest answer in bytes that is held until it is whole.
	DefaultAnswerBound = 1 << 20
	// DefaultMemory bounds the bytes of all bodies at a time.
	DefaultMemory = 24 << 20
	// memoryShares divides the memory between bodies and answers of ingress and owner.
	memoryShares = 4
	// DefaultHeartbeat is the spacing of the signs of life sent while a request runs.
	DefaultHeartbeat = 250 * time.Millisecond
	// DefaultProgress is the time without a byte after which a connection to a backend server is doubted.
	DefaultProgress = time.Second
	// watchSpacing is the time between two looks at the members.
	watchSpacing = time.Second
	// probeTimeout bounds the fresh connection that tells a crash from a lost connection.
	probeTimeout = 250 * time.Millisecond
	// deathProbes and deathSpacing are the number of tries that tell a crash from a lost
	// connection, and the time between two: an exiting process closes its port within
	// some ten milliseconds even on a busy VM.
	deathProbes  = 3
	deathSpacing = 30 * time.Millisecond
	// reportTimeout bounds the wait for peers to hear of a crash before the caller does.
	reportTimeout = 250 * time.Millisecond
)

// Option changes a part or setting of a Dispatcher.
type Option func(*Dispatcher)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(d *Dispatcher) { d.clock = clock }
}

// WithConfigurations sets the source of the configuration revision.
func WithConfigurations(configurations Configurations) Option {
	return func(d *Dispatcher) { d.configurations = configurations }
}

// WithObserver sets what takes the results of attempts.
func WithObserver(observer Observer) Option {
	return func(d *Dispatcher) { d.observer = observer }
}

// WithRecorder sets what takes events.
func WithRecorder(recorder Recorder) Option {
	return func(d *Dispatcher) { d.recorder = recorder }
}

// WithSuspects sets what tells other nodes about suspects.
func WithSuspects(suspects Suspects) Option {
	return func(d *Dispatcher) { d.suspects = suspects }
}

// WithSealer sets the record of dispatched and sealed attempts.
func WithSealer(s *sealer.Sealer) Option {
	return func(d *Dispatcher) { d.sealer = s }
}

// WithGuard sets the guard of idempotency keys.
func WithGuard(g *guard.Guard) Option {
	return func(d *Dispatcher) { d.guard = g }
}

// WithPoisoner sets the record of suspects.
func WithPoisoner(p *poisoner.Poisoner) Option {
	return func(d *Dispatcher) { d.poisoner = p }
}

// WithPooler sets the connections to backend servers.
func WithPooler(p *pooler.Pooler) Option {
	return func(d *Dispatcher) { d.pooler = p }
}

// WithMemory sets the bound of all bodies, shared with other parts of the node.
func WithMemory(a *accountant.Accountant) Option {
	return func(d *Dispatcher) { d.memory = a }
}

// WithBodyBound sets the largest request body in bytes.
func WithBodyBound(bound int64) Option {
	return func(d *Dispatcher) { d.bodyBound = bound }
}

// WithAnswerBound sets the largest answer in bytes that is held until it is whole.
func WithAnswerBound(bound int64) Option {
	return func(d *Dispatcher) { d.answerBound = bound }
}

// WithMembers sets the source of the nodes that may guard idempotency keys.
func WithMembers(members Members) Option {
	return func(d *Dispatcher) { d.members = members }
}

// WithHeartbeat sets the spacing of the signs of life sent while a request runs.
func WithHeartbeat(spacing time.Duration) Option {
	return func(d *Dispatcher) { d.heartbeat = spacing }
}

// WithEstimates refuses attempts while their backend server fails most requests.
func WithEstimates() Option {
	return func(d *Dispatcher) { d.estimates = true }
}

// WithDialect sets the headers of backend servers; without it they are the fleet's own.
func WithDialect(dialect Dialect) Option {
	return func(d *Dispatcher) { d.dialect = dialect }
}

// WithUndelimited takes answers without a length whose end is that of their connection.
// One that is reset is not whole; one whose end was closed early looks as if it were.
func WithUndelimited() Option {
	return func(d *Dispatcher) { d.undelimited = true }
}

// WithLender sets who pays for retries that other nodes' budgets did not allow; without
// one they are refused.
func WithLender(lender Lender) Option {
	return func(d *Dispatcher) { d.lender = lender }
}
