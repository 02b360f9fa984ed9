// Package forwarder implements the ingress of the request path: it accepts callers'
// requests, forwards them to the owners of backend servers and returns to each caller
// the complete answer to its own request or a clear error.
package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/breaker"
	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/deduplicator"
	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/identity/authenticator"
	"cowsliptally.example/cowsliptally/identity/tabulator"
	"cowsliptally.example/cowsliptally/limiter"
	"cowsliptally.example/cowsliptally/locator"
	"cowsliptally.example/cowsliptally/matcher"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/retrier"
	"cowsliptally.example/cowsliptally/splitter"
)

// Forwarder is the http.Handler that serves callers. Every node runs one.
type Forwarder struct {
	node           fleet.NodeID
	configurations ConfigurationSource
	directory      Directory
	picker         Picker
	clock          clockwork.Clock
	observer       Observer
	recorder       Recorder
	checker        Checker
	departures     Departures
	retrier        *retrier.Retrier
	limiter        *limiter.Limiter
	// quota takes the place of the limiter where quotas hold over the whole fleet.
	quota        Quota
	splitter     *splitter.Splitter
	deduplicator *deduplicator.Deduplicator
	quarantiner  *quarantiner.Quarantiner
	pooler       *pooler.Pooler
	memory       *accountant.Accountant
	bodies       *collector.Collector
	answers      *collector.Collector
	// rests reads on in answers without a known end that have others behind them.
	rests         *collector.Collector
	maxBodySize   int64
	maxAnswerSize int64
	timeout       time.Duration
	writeTimeout  time.Duration
	// waitingContext is cancelled when the requests in flight that only wait are to be aborted, and
	// abortContext when all are.
	waitingContext, abortContext context.Context
	abortWaiting, abort          context.CancelFunc
	// stopping is when the node was told to stop and when it aborts requests; nil while it does not stop.
	stopping atomic.Pointer[stopTimes]
	// drainAt is when new requests are refused from; nil if no time is known.
	drainAt           atomic.Pointer[time.Time]
	maxNoWaitAttempts int
	repeatErrors      bool
	breaker           *breaker.Breaker
	work              *drainer.Drainer
	tickets           *tickets
	peers             *peers
	// notDeciding holds the nodes of older builds, which are not asked for trial runs.
	notDeciding   sync.Map
	tabulator     *tabulator.Tabulator
	routes        atomic.Pointer[matcher.Matcher]
	organisations atomic.Pointer[authenticator.Authenticator]
}

// New returns the forwarder of a node.
func New(node fleet.NodeID, configurations ConfigurationSource, directory Directory, picker Picker, options ...Option) *Forwarder {
	f := &Forwarder{
		node:           node,
		configurations: configurations,
		directory:      directory,
		picker:         picker,
		clock:          clockwork.NewRealClock(),
		observer:       noop{},
		recorder:       noop{},
		checker:        noop{},
		departures:     noop{},
		maxBodySize:    DefaultMaxBodySize,
		maxAnswerSize:  DefaultMaxAnswerSize,
		timeout:        DefaultTimeout,
		writeTimeout:   DefaultWriteTimeout,
		work:           drainer.New(),
		tickets:        newTickets(),
		peers:          newPeers(),
		splitter:       splitter.New(),
	}
	for _, option := range options {
		option(f)
	}
	f.waitingContext, f.abortWaiting = context.WithCancel(context.Background())
	f.abortContext, f.abort = context.WithCancel(context.Background())
	f.setDefaults()
	return f
}

// setDefaults creates the parts that no option has set.
func (f *Forwarder) setDefaults() {
	if f.retrier == nil {
		f.retrier = retrier.New()
	}
	f.breaker = breaker.New(f.clock)
	if f.limiter == nil {
		f.limiter = limiter.New(f.clock)
	}
	if f.tabulator == nil {
		f.tabulator = tabulator.New(metrics.NewRegistry())
	}
	if f.deduplicator == nil {
		f.deduplicator = deduplicator.New(f.node, f.clock)
	}
	if f.quarantiner == nil {
		f.quarantiner = quarantiner.New(f.clock)
	}
	if f.pooler == nil {
		f.pooler = pooler.New(pooler.WithClock(f.clock), pooler.WithProgress(DefaultProgress))
	}
	if f.memory == nil {
		f.memory = accountant.New(DefaultMemory)
	}
	share := f.memory.Bound() / memoryShares
	f.bodies = collector.New(f.memory.Share(max(share, f.maxBodySize)), f.maxBodySize)
	f.answers = collector.New(f.memory.Share(share), f.maxAnswerSize)
	f.rests = collector.New(f.memory.Share(share), heldAnswers*f.maxAnswerSize)
}

// InFlight returns the number of requests being served.
func (f *Forwarder) InFlight() int { return f.work.InFlight(drainer.Requests) }

// IsStopping reports whether a node has told this one that it stops.
func (f *Forwarder) IsStopping(node fleet.NodeID) bool { return f.breaker.IsStopping(node) }

// UnreachableNodes returns the number of unreachable nodes that are in backoff.
func (f *Forwarder) UnreachableNodes() int { return f.breaker.UnreachableCount() }

// RemainingRetries returns the number of retries left in the smallest retry budget.
func (f *Forwarder) RemainingRetries() float64 { return f.retrier.LeastRemaining() }

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	keys := takeKeys(r.Header)
	if !f.enter() {
		f.refuse(w, &submission{id: fleet.RequestID(r.Header.Get(fleet.HeaderRequestID))},
			refused(fleet.ReasonDraining, "this node shuts down; ask another one"))
		return
	}
	current := &stage{work: f.work}
	defer current.leave()
	if !f.configurations.Ready() {
		f.refuse(w, &submission{id: fleet.RequestID(r.Header.Get(fleet.HeaderRequestID))},
			refused(fleet.ReasonNotReady, "this node knows no configuration yet"))
		return
	}
	if locator.Of(r).Path() == KeyPath {
		f.issueKey(w)
		return
	}
	s, reason, err := f.parse(r, keys)
	if err != nil {
		f.refuse(w, s, refused(reason, err.Error()))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), s.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	s.stage, current.end = current, end
	defer context.AfterFunc(f.waitingContext, current.abortWaiting)()
	defer context.AfterFunc(f.abortContext, current.abort)()
	if refusal := f.accept(ctx, w, s); refusal != nil {
		f.refuse(w, s, refusal)
		return
	}
	defer s.content.Release()
	defer s.closeHedges(w)
	f.serve(ctx, w, s)
}

// serve executes an accepted submission and writes the answer or refusal to the caller.
func (f *Forwarder) serve(ctx context.Context, w http.ResponseWriter, s *submission) {
	r := f.execute(ctx, s)
	defer r.close()
	if s.stage.mayHaveRun() && r.outcome.Executed == fleet.ExecutedNo {
		// Only the last attempt is proved not to have run; an earlier one may have.
		r.outcome.Executed = fleet.ExecutedUnknown
	}
	if r.answered() {
		f.holdUnending(ctx, s, r)
	}
	if r.answered() {
		s.stage.answer()
		f.recorder.Record(f.event(fleet.EventRequest, s, strconv.Itoa(r.exchange.Response.StatusCode)))
		f.writeAnswer(w, s, r)
		return
	}
	if r.outcome.Executed == fleet.ExecutedNo {
		f.releaseGrants(s)
		f.giveBack(s)
	}
	f.refuse(w, s, r)
}

// execute returns the result of a submission. If an owner reports that the request is
// suspect, it waits for its trial run like one that was suspect at the start; if it was cleared, the owner has
// been told.
func (f *Forwarder) execute(ctx context.Context, s *submission) *result {
	for round := 1; ; round++ {
		if refusal := f.admitSuspect(ctx, s); refusal != nil {
			return refusal
		}
		if refusal := f.acquireKey(ctx, s); refusal != nil {
			f.endTrial(s)
			return refusal
		}
		r := f.try(ctx, s)
		if r.outcome.Executed != fleet.ExecutedNo || !isSuspected(r.outcome.Reason) || s.trialNode != "" ||
			s.stage.mayHaveRun() || round == maxSuspectRounds {
			return r
		}
	}
}

// limitReading ends a slow upload at the deadline. The error of response writers without
// deadlines, such as those in tests, is ignored, as they are never slow.
func (f *Forwarder) limitReading(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

// limitWriting sets the write deadline of the next part of an answer.
func (f *Forwarder) limitWriting(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(f.clock.Now().Add(f.writeTimeout))
}

// event returns the event that records how a submission ended and why.
func (f *Forwarder) event(kind fleet.EventKind, s *submission, reason string) fleet.Event {
	event := fleet.NewEvent(kind, string(s.id), reason).WithService(s.service)
	if s.started.IsZero() {
		return event
	}
	now := f.clock.Now()
	event.Figures = []fleet.Figure{
		{Name: "revision", Value: float64(s.revision)},
		fleet.Milliseconds("took", now.Sub(s.started)),
	}
	if s.deadline.IsZero() {
		return event.WithDetail(strings.Join(append([]string{s.request.Host + s.locator.Path()}, s.trace...), ": "))
	}
	event.Figures = append(event.Figures, fleet.Milliseconds("left", s.deadline.Sub(now)))
	return event.WithDetail(string(s.kind) + ": " + strings.Join(s.trace, "; "))
}

// bodyReason returns the reason for which a request body could not be buffered.
func bodyReason(err error) fleet.Reason {
	switch fault.KindOf[collector.Kind](err) {
	case collector.KindTooLarge:
		return fleet.ReasonTooLarge
	case collector.KindMemory:
		return fleet.ReasonMemory
	default:
		return fleet.ReasonCancelled
	}
}
