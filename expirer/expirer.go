// Package expirer learns how long idle connections last at each address. A server, or something on
// the path to it, may drop an idle connection without notice. The request that is written to it next
// is reset, and may have run for all that its sender can tell.
package expirer

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jonboulle/clockwork"
)

const (
	// DefaultTrial is how long requests wait for the first one of the same moment. A reset comes
	// within a round trip on the server's own VM.
	DefaultTrial = 2 * time.Millisecond
	// DefaultMaxReset bounds the time from a request to the reset of a dropped connection. A later
	// one is more likely that of a server which failed at work.
	DefaultMaxReset = 10 * time.Millisecond
	// minIdle is the idle time below which connections never expire, so that those in steady use
	// are kept.
	minIdle = 100 * time.Millisecond
	// minHold is how long the first reset counts. The time doubles with each further one up to
	// maxHold, so that a server which has failed for another reason costs few connections.
	minHold = 8 * time.Second
	maxHold = 64 * time.Second
	// marginDivisor is the part of the idle time of a dropped connection by which others expire sooner.
	marginDivisor = 4
	// maxAddresses bounds the addresses with a history.
	maxAddresses = 64
)

// Expirer is safe for concurrent use.
type Expirer struct {
	clock           clockwork.Clock
	trial, maxReset time.Duration

	mu        sync.Mutex
	histories *simplelru.LRU[string, *history]
}

// Option changes a setting of an Expirer.
type Option func(*Expirer)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(e *Expirer) { e.clock = clock }
}

// WithTrial sets how long requests wait for the first one of the same moment.
func WithTrial(trial time.Duration) Option {
	return func(e *Expirer) { e.trial = trial }
}

// WithMaxReset bounds the time from a request to the reset of a dropped connection.
func WithMaxReset(bound time.Duration) Option {
	return func(e *Expirer) { e.maxReset = bound }
}

// New returns an Expirer that knows no address.
func New(options ...Option) *Expirer {
	e := &Expirer{clock: clockwork.NewRealClock(), trial: DefaultTrial, maxReset: DefaultMaxReset}
	for _, option := range options {
		option(e)
	}
	histories, err := simplelru.NewLRU[string, *history](maxAddresses, nil)
	if err != nil {
		panic(err)
	}
	e.histories = histories
	return e
}

// IsExpired reports whether a connection that was idle for this long must not be used.
func (e *Expirer) IsExpired(address string, idle time.Duration) bool {
	if idle < minIdle {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.history(address).isExpired(idle, e.clock.Now())
}

// Begin notes that a request is about to be sent over a connection that was idle for this long, and
// returns how long it has to wait until it is known whether the one before it was reset.
func (e *Expirer) Begin(address string, idle time.Duration) (wait time.Duration) {
	if idle < minIdle {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	h, now := e.history(address), e.clock.Now()
	if h.isExpired(idle, now) {
		return 0
	}
	if since := now.Sub(h.tried); since < e.trial {
		return e.trial - since
	}
	h.tried = now
	return 0
}

// RecordAnswer records an answer over a connection that was idle for this long before.
func (e *Expirer) RecordAnswer(address string, idle time.Duration) {
	if idle < minIdle {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history(address).recordAnswer(idle, e.clock.Now())
}

// RecordReset records that a connection that was idle for this long before ended without a byte of an
// answer, some time after the request. It reports whether the server seems to have dropped the connection.
func (e *Expirer) RecordReset(address string, idle, after time.Duration) (dropped bool) {
	if idle < minIdle || after > e.maxReset {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history(address).recordReset(idle, e.clock.Now())
	return true
}

// history returns the history of an address. The caller holds mu.
func (e *Expirer) history(address string) *history {
	if h, found := e.histories.Get(address); found {
		return h
	}
	h := &history{}
	e.histories.Add(address, h)
	return h
}
