// Package verifier finds evidence that separates connections which a cut has silenced from
// servers that work without output: neither sends a byte. It keeps one witness connection to
// each address. When the witness is not answered and a fresh connection is, connections as old
// as the witness's last answer are cut; while the witness is answered, they are not.
//
// It addresses partitions that end for new connections only, such as those after which a
// firewall has forgotten the old ones. docs/design/silence.md compares it with other evidence.
package verifier

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jonboulle/clockwork"
)

const (
	// DefaultInterval is the time between two questions over the witness of an address in use.
	// It is less than the 10 s after which backend servers close unused connections.
	DefaultInterval = 8 * time.Second
	// DefaultSpacing is the least time between two questions in the background, however many
	// connections are opened.
	DefaultSpacing = time.Second
	// DefaultTimeout bounds the wait for one answer: many times the round trip between zones,
	// and longer than a node pauses when its share of the processor is used up.
	DefaultTimeout = 250 * time.Millisecond
	// maxAddresses bounds the addresses with a witness. A node has one backend server on its
	// VM, and for some time those of earlier starts.
	maxAddresses = 64
)

// Verifier is safe for concurrent use.
type Verifier struct {
	clock    clockwork.Clock
	interval time.Duration
	spacing  time.Duration
	timeout  time.Duration
	onCut    func(address string)

	mu        sync.Mutex
	closed    bool
	addresses *simplelru.LRU[string, *subject]
}

// Option changes a setting of a Verifier.
type Option func(*Verifier)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(v *Verifier) { v.clock = clock }
}

// WithInterval sets the time between two questions over the witness of an address in use.
func WithInterval(interval time.Duration) Option {
	return func(v *Verifier) { v.interval = interval }
}

// WithSpacing sets the least time between two questions in the background.
func WithSpacing(spacing time.Duration) Option {
	return func(v *Verifier) { v.spacing = spacing }
}

// WithTimeout bounds the wait for one answer.
func WithTimeout(timeout time.Duration) Option {
	return func(v *Verifier) { v.timeout = timeout }
}

// WithCutHandler sets a function that is called when connections to an address are found cut.
func WithCutHandler(onCut func(address string)) Option {
	return func(v *Verifier) { v.onCut = onCut }
}

// New returns a verifier without witnesses.
func New(options ...Option) *Verifier {
	v := &Verifier{
		clock: clockwork.NewRealClock(), interval: DefaultInterval,
		spacing: DefaultSpacing, timeout: DefaultTimeout,
		onCut: func(string) {},
	}
	for _, option := range options {
		option(v)
	}
	addresses, err := simplelru.NewLRU(maxAddresses, func(_ string, s *subject) { go s.close() })
	if err != nil {
		panic(err)
	}
	v.addresses = addresses
	return v
}

// Answered records an answer over a connection to an address that was opened at a time and is in
// use again. The witness is asked in the background, unless its last answer is recent and
// younger than the connection.
func (v *Verifier) Answered(address string, opened time.Time) {
	s := v.subject(address)
	if s == nil || !s.recordAnswer(opened, v.clock.Now(), v.interval, v.spacing) || !s.asking.TryLock() {
		return
	}
	go func() {
		defer s.asking.Unlock()
		v.ask(context.Background(), s)
	}()
}

// Check asks whether connections to an address that were opened at a time have been cut.
func (v *Verifier) Check(ctx context.Context, address string, opened time.Time) Verdict {
	s := v.subject(address)
	if s == nil {
		return Unreachable
	}
	s.asking.Lock()
	defer s.asking.Unlock()
	if s.cut(opened) {
		return Cut
	}
	if !v.ask(ctx, s) {
		return Unreachable
	}
	if s.cut(opened) {
		return Cut
	}
	return Reachable
}

// Close closes all witnesses; no more are opened.
func (v *Verifier) Close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	v.addresses.Purge()
}

// subject returns what is known of an address; nil once the verifier is closed.
func (v *Verifier) subject(address string) *subject {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return nil
	}
	if s, found := v.addresses.Get(address); found {
		return s
	}
	s := &subject{address: address}
	v.addresses.Add(address, s)
	return s
}

// ask asks over the witness of an address, and over a fresh connection if the witness does not
// answer. It reports whether the address answers. The caller holds s.asking.
func (v *Verifier) ask(ctx context.Context, s *subject) bool {
	asked := v.clock.Now()
	silent := false
	if s.witness != nil {
		err := s.witness.ask(v.timeout)
		if err == nil {
			s.recordWitness(asked)
			return true
		}
		silent = isTimeout(err)
	}
	opened := v.clock.Now()
	fresh, err := open(ctx, s.address, v.timeout)
	if err != nil {
		s.replaceWitness(nil)
		return false
	}
	// The witness is asked once more: the server may have paused, or lost one answer.
	if silent && isTimeout(s.witness.ask(v.timeout)) && s.recordCut(v.clock.Now()) {
		v.onCut(s.address)
	}
	s.replaceWitness(fresh)
	s.recordWitness(opened)
	return true
}
