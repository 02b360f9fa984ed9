package acceptor

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/drainer"
)

const (
	// DefaultReadAhead is the number of bytes of pipelined requests that are read ahead
	// on one connection.
	DefaultReadAhead = 64 << 10
	// DefaultLinger is how long a closed connection is read until its other end closes it.
	DefaultLinger = 500 * time.Millisecond
)

// Acceptor is a net.Listener.
type Acceptor struct {
	net.Listener
	clock     clockwork.Clock
	readAhead int
	linger    time.Duration
	// work counts the closed connections that are still read.
	work *drainer.Drainer
}

// Option changes a setting of an acceptor.
type Option func(*Acceptor)

// WithClock replaces the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(a *Acceptor) { a.clock = clock }
}

// WithReadAhead sets the number of bytes that are read ahead on one connection.
func WithReadAhead(bytes int) Option {
	return func(a *Acceptor) { a.readAhead = bytes }
}

// WithLinger sets how long a closed connection is read until its other end closes it.
func WithLinger(linger time.Duration) Option {
	return func(a *Acceptor) { a.linger = linger }
}

// WithDrainer sets the node's count of work in flight.
func WithDrainer(work *drainer.Drainer) Option {
	return func(a *Acceptor) { a.work = work }
}

// New returns an acceptor of the connections of a listener.
func New(listener net.Listener, options ...Option) *Acceptor {
	a := &Acceptor{
		Listener: listener, clock: clockwork.NewRealClock(),
		readAhead: DefaultReadAhead, linger: DefaultLinger, work: drainer.New(),
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Accept returns the next connection.
func (a *Acceptor) Accept() (net.Conn, error) {
	accepted, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, acceptor: a}, nil
}

// Wait waits until no closed connection is read any more. It is called once the server is
// closed: connections that are closed later are not read.
func (a *Acceptor) Wait(ctx context.Context) error {
	a.work.Close(drainer.Closing)
	return a.work.Wait(ctx)
}

// Context is the ConnContext of an http.Server: it returns a context that ends when the
// other end closes the connection, also while pipelined requests are waiting.
func Context(ctx context.Context, c net.Conn) context.Context {
	accepted, ok := c.(*conn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(context.WithValue(ctx, connKey{}, accepted))
	accepted.setCancel(cancel)
	return ctx
}

// connKey is the key of the connection in a context.
type connKey struct{}

// Arrival returns when a request arrived, given its context at the start of its handler: a
// pipelined request may have waited for those before it. It returns false for a request
// that did not come over an acceptor's connection.
func Arrival(ctx context.Context) (time.Time, bool) {
	if arrived, found := ctx.Value(arrivalKey{}).(time.Time); found {
		return arrived, true
	}
	accepted, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return time.Time{}, false
	}
	return accepted.lastArrival(), true
}

// arrivalKey is the key of a request's own arrival in a context.
type arrivalKey struct{}

// WithArrival returns the context of a request that arrived at a time.
func WithArrival(ctx context.Context, arrived time.Time) context.Context {
	return context.WithValue(ctx, arrivalKey{}, arrived)
}

// Watch calls notify with the bytes of pipelined requests that have arrived behind the one
// with this context, now and whenever there are more, until stop. They begin with the first
// byte of the next request, which the server has yet to read itself. The request must have no
// body. Nothing is watched on other connections, or where the end of the request is in doubt.
func Watch(ctx context.Context, notify func([]byte)) (stop func()) {
	accepted, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() {}
	}
	return accepted.watch(notify)
}

// ResetUntilEnd has the connection of the request with this context reset when it is closed, also by
// the end of the process, until the answer has ended. It is for answers that end with their connection:
// nothing else tells a part of one from the whole. It does nothing on other connections.
func ResetUntilEnd(ctx context.Context) (ended func()) {
	accepted, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() {}
	}
	accepted.setUnended(true)
	return func() { accepted.setUnended(false) }
}
