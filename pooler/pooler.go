// Package pooler pools HTTP/1.1 connections to nodes and backend servers. It sends
// each request at most once and reports whether any byte of it left the process.
package pooler

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/expirer"
	"cowsliptally.example/cowsliptally/fault"
)

const (
	// maxStale is the number of idle connections that may be found closed before a fresh one is used.
	maxStale = 3
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// defaultInterim bounds the answers with status 1xx before the last one. An owner sends one
	// every 250 ms, so these last for 17 minutes.
	defaultInterim = 4096
)

// errFull is the error of a connection that is not made as too many are open.
var errFull = errors.New("too many connections are open")

// errInterim is the error of an answer with too many of status 1xx before it.
var errInterim = errors.New("too many interim answers")

// errSuperseded is the cause of a cancellation in favour of another exchange.
var errSuperseded = errors.New("another exchange takes its place")

// errSilent is the cause of a cancellation for lack of progress.
var errSilent = errors.New("the connection made no progress")

// Pooler holds one pool of connections for each address. It is safe for concurrent use.
type Pooler struct {
	clock       clockwork.Clock
	progress    time.Duration
	dialTimeout time.Duration
	idleTimeout time.Duration
	connections int
	opened      metrics.Counter
	reused      metrics.Counter
	// full counts the connections that were not made as too many were open, and headless the
	// exchanges that ended for lack of memory for a head.
	full, headless metrics.Counter
	// strays counts the late answers to earlier requests that were discarded.
	strays metrics.Counter
	// dropped counts the requests that were lost on a connection dropped while it was idle, and
	// expired the connections that were idle for too long to be used.
	dropped, expired metrics.Counter
	// maxOpen bounds the open connections; 0 sets no bound.
	maxOpen int64
	// maxInterim bounds the answers with status 1xx before the last one.
	maxInterim int
	open       atomic.Int64
	// heads bounds the memory for heads of answers.
	heads *accountant.Accountant
	// expirer knows how long idle connections last; nil uses them until the idle timeout.
	expirer *expirer.Expirer
	// fresh opens a new connection for each request.
	fresh *http.Transport

	mu    sync.Mutex
	pools *simplelru.LRU[string, *http.Transport]
}

// New returns a pooler without connections.
func New(options ...Option) *Pooler {
	p := &Pooler{
		clock:       clockwork.NewRealClock(),
		dialTimeout: DefaultDialTimeout,
		idleTimeout: DefaultIdleTimeout,
		connections: DefaultConnections,
		maxInterim:  defaultInterim,
		opened:      metrics.NilCounter{},
		reused:      metrics.NilCounter{},
		full:        metrics.NilCounter{},
		headless:    metrics.NilCounter{},
		strays:      metrics.NilCounter{},
		dropped:     metrics.NilCounter{},
		expired:     metrics.NilCounter{},
		heads:       accountant.New(math.MaxInt64),
	}
	for _, option := range options {
		option(p)
	}
	pools, err := simplelru.NewLRU(DefaultAddresses, func(_ string, pool *http.Transport) {
		pool.CloseIdleConnections()
	})
	if err != nil {
		panic(err)
	}
	p.pools = pools
	dialer := &net.Dialer{Timeout: p.dialTimeout}
	p.fresh = &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	return p
}

// Send sends a message once. A pooled connection found closed before a byte was
// written, idle for too long, or over which the request was refused before, is replaced; nothing
// else is retried.
func (p *Pooler) Send(ctx context.Context, m Message) (*Exchange, error) {
	for stale := 0; ; stale++ {
		exchange, err := p.send(ctx, m, stale >= maxStale)
		if err == nil || exchange.Sent || !exchange.Reused || ctx.Err() != nil {
			return exchange, err
		}
	}
}

// Renew closes the idle connections to an address and opens new ones for later
// requests. Requests in flight keep their connections.
func (p *Pooler) Renew(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools.Remove(address)
}

// ProbeTCP opens a fresh connection to an address and closes it.
func (p *Pooler) ProbeTCP(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: p.dialTimeout}
	probe, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fault.New("probe", KindDial, "connect to %s: %w", address, err)
	}
	return probe.Close()
}

// ProbeHTTP sends OPTIONS *, which every HTTP server answers, over a fresh connection.
func (p *Pooler) ProbeHTTP(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodOptions, "http://"+address, nil)
	if err != nil {
		return fault.New("ask", KindDial, "address %q: %w", address, err)
	}
	request.URL.Opaque = "*"
	response, err := p.fresh.RoundTrip(request)
	if err != nil {
		return fault.New("ask", KindSilent, "%s does not answer: %w", address, err)
	}
	return response.Body.Close()
}

// Close closes all connections that are not in use.
func (p *Pooler) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools.Purge()
}

func (p *Pooler) send(ctx context.Context, m Message, fresh bool) (*Exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	exchange := &Exchange{id: m.ID, cancel: cancel}
	w := &watcher{clock: p.clock, progress: p.progress, onStall: m.OnStall, onProgress: m.OnProgress, cancel: cancel}
	defer w.stop()
	var used *conn
	var again reuse
	var before uint64
	interim := 0
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			used = info.Conn.(*conn)
			exchange.conn = used
			var expired bool
			again, expired = p.reuse(ctx, m, info)
			used.begin()
			before = used.writes.Load()
			exchange.Reused, exchange.Opened = info.Reused, used.opened
			if info.Reused {
				p.reused.Inc(1)
			}
			var sound bool
			exchange.turn, sound = used.strays.begin(m, info.Reused)
			if info.Reused && (!sound || expired || used.hasRefused(m.ID)) {
				used.breakOff()
			}
			m.connected()
			w.start(used, info.Reused)
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if interim++; interim > p.maxInterim {
				return errInterim
			}
			if m.OnInformational != nil {
				m.OnInformational(header)
			}
			return nil
		},
	}
	request := m.Request.WithContext(httptrace.WithClientTrace(ctx, trace))
	setContent(request, m.Content)
	request.Close = fresh
	if fresh {
		p.Renew(m.Address)
	}
	response, err := p.pool(m.Address).RoundTrip(request)
	if err == nil {
		err = used.accept(response, before)
	}
	if err == nil {
		p.recordAnswer(m, again)
		exchange.setResponse(response)
		exchange.Sent = true
		exchange.reserved.Store(used.answer.take())
		return exchange, nil
	}
	if used != nil {
		_ = used.Close()
		exchange.Sent = used.writes.Load() != before
		exchange.Ended = used.endedAfterHead() && !used.strays.strayedIn(exchange.turn)
	}
	if exchange.Sent {
		err = p.recordFailure(m, exchange, again, err)
	}
	if errors.Is(err, errHeads) {
		p.headless.Inc(1)
	}
	cause := context.Cause(ctx)
	cancel(err)
	return exchange, classify(m.Address, err, cause, used)
}

// pool returns the connection pool of an address.
func (p *Pooler) pool(address string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool, found := p.pools.Get(address); found {
		return pool
	}
	dialer := &net.Dialer{Timeout: p.dialTimeout}
	pool := &http.Transport{
		DialContext: func(ctx context.Context, network, target string) (net.Conn, error) {
			return p.dial(ctx, dialer, network, target)
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
		MaxConnsPerHost:        p.connections,
		MaxIdleConnsPerHost:    p.connections,
		IdleConnTimeout:        p.idleTimeout,
	}
	p.pools.Add(address, pool)
	return pool
}

// dial opens a connection unless too many are open. Unused ones make room.
func (p *Pooler) dial(ctx context.Context, dialer *net.Dialer, network, target string) (net.Conn, error) {
	if p.open.Add(1) > p.maxOpen && p.maxOpen > 0 {
		p.closeIdle()
		if p.open.Load() > p.maxOpen {
			p.open.Add(-1)
			p.full.Inc(1)
			return nil, errFull
		}
	}
	made, err := dialer.DialContext(ctx, network, target)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	p.opened.Inc(1)
	c := &conn{Conn: made, opened: p.clock.Now(), onClose: func() { p.open.Add(-1) }, answer: &answer{memory: p.heads}}
	c.strays.discarded = p.strays
	return c, nil
}

// closeIdle closes the unused connections of all pools.
func (p *Pooler) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools.Values() {
		pool.CloseIdleConnections()
	}
}
