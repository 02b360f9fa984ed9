package pipeliner

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/drainer"
)

const (
	// DefaultDepth is the number of requests of a connection that are begun before their turn.
	DefaultDepth = 8
	// writeTimeout bounds the writing of the buffered part of an answer.
	writeTimeout = 10 * time.Second
)

// Pipeliner is an http.Handler that wraps another one.
type Pipeliner struct {
	next     http.Handler
	eligible func(*http.Request) bool
	leaving  func() bool
	depth    int
	clock    clockwork.Clock
	work     *drainer.Drainer
	memory   Memory
}

// Memory bounds the memory for the answers that wait for their turn.
type Memory interface {
	Reserve(bytes int64) bool
	Release(bytes int64)
}

// Option changes a setting of a Pipeliner.
type Option func(*Pipeliner)

// WithEligible sets which requests may be begun before their turn; without it none are.
func WithEligible(eligible func(*http.Request) bool) Option {
	return func(p *Pipeliner) { p.eligible = eligible }
}

// WithLeaving sets whether the server is about to close its connections. Then no request is
// begun before its turn, and the last of those that were closes its connection.
func WithLeaving(leaving func() bool) Option {
	return func(p *Pipeliner) { p.leaving = leaving }
}

// WithClock replaces the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(p *Pipeliner) { p.clock = clock }
}

// WithDrainer sets the node's count of work in flight. It holds each request that was begun
// before its turn until its answer is written or its connection has ended.
func WithDrainer(work *drainer.Drainer) Option {
	return func(p *Pipeliner) { p.work = work }
}

// WithDepth sets the number of requests of a connection that are begun before their turn.
func WithDepth(depth int) Option {
	return func(p *Pipeliner) { p.depth = depth }
}

// WithMemory bounds what is buffered of all answers that wait for their turn; by default it
// has no bound but that of each.
func WithMemory(memory Memory) Option {
	return func(p *Pipeliner) { p.memory = memory }
}

// New returns a pipeliner in front of a handler.
func New(next http.Handler, options ...Option) *Pipeliner {
	p := &Pipeliner{
		next: next, depth: DefaultDepth, clock: clockwork.NewRealClock(), work: drainer.New(),
		eligible: func(*http.Request) bool { return false },
		leaving:  func() bool { return false },
		memory:   accountant.New(math.MaxInt64),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Context returns the context of a connection, derived from that of the acceptor.
func Context(ctx context.Context) context.Context {
	l := &line{}
	l.ctx = context.WithValue(ctx, lineKey{}, l)
	return l.ctx
}

// Pending reports whether requests of the same connection have been begun that wait for
// their turn. The connection must not be closed before they are answered.
func Pending(ctx context.Context) bool {
	l, ok := ctx.Value(lineKey{}).(*line)
	return ok && l.pending()
}

// Hold tells that the end of the answer to the request with this context is in doubt: if it is
// broken off, so are those behind it. No request is begun behind it until it is answered. Hold
// reports whether some have been begun already.
func Hold(ctx context.Context) (behind bool) {
	l, ok := ctx.Value(lineKey{}).(*line)
	if !ok {
		return false
	}
	e, _ := ctx.Value(earlyKey{}).(*early)
	return l.hold(e)
}

// ServeHTTP serves one request, or returns its answer if it was begun before.
func (p *Pipeliner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l, ok := r.Context().Value(lineKey{}).(*line)
	if !ok {
		p.next.ServeHTTP(w, r)
		return
	}
	begun := l.take(r)
	defer l.follow(p, r)()
	if begun == nil {
		p.next.ServeHTTP(w, r)
		return
	}
	defer begun.leave()
	if p.leaving() && !l.pending() {
		w.Header().Set("Connection", "close")
	}
	begun.replay(w, p.clock.Now().Add(writeTimeout))
}
