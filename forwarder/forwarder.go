// Package forwarder is the ingress of the request path: it takes callers' requests,
// sends them to the owners of backend servers and gives each caller the whole
// answer to its own request or a clear error.
package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/avoider"
	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/guard"
	"cowsliptally.example/cowsliptally/limiter"
	"cowsliptally.example/cowsliptally/matcher"
	"cowsliptally.example/cowsliptally/poisoner"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/refuser"
	"cowsliptally.example/cowsliptally/retrier"
)

// Forwarder serves callers at any node. It is an http.Handler.
type Forwarder struct {
	node           fleet.NodeID
	configurations Configurations
	directory      Directory
	picker         Picker
	clock          clockwork.Clock
	observer       Observer
	recorder       Recorder
	checker        Checker
	retrier        *retrier.Retrier
	limiter        *limiter.Limiter
	guard          *guard.Guard
	poisoner       *poisoner.Poisoner
	pooler         *pooler.Pooler
	memory         *accountant.Accountant
	bodies         *collector.Collector
	answers        *collector.Collector
	bodyBound      int64
	answerBound    int64
	timeout        time.Duration
	writeTimeout   time.Duration
	// ending is done once requests in flight are to be given up.
	ending       context.Context
	giveUp       context.CancelFunc
	maxGlances   int
	repeatErrors bool
	avoider      *avoider.Avoider
	drainer      *drainer.Drainer
	tickets      *tickets
	peers        *peers
	routes       atomic.Pointer[matcher.Matcher]
}

// New returns the forwarder of a node.
func New(node fleet.NodeID, configurations Configurations, directory Directory, picker Picker, options ...Option) *Forwarder {
	f := &Forwarder{
		node:           node,
		configurations: configurations,
		directory:      directory,
		picker:         picker,
		clock:          clockwork.NewRealClock(),
		observer:       none{},
		recorder:       none{},
		checker:        none{},
		bodyBound:      DefaultBodyBound,
		answerBound:    DefaultAnswerBound,
		timeout:        DefaultTimeout,
		writeTimeout:   DefaultWriteTimeout,
		drainer:        drainer.New(),
		tickets:        newTickets(),
		peers:          newPeers(),
	}
	for _, option := range options {
		option(f)
	}
	f.ending, f.giveUp = context.WithCancel(context.Background())
	f.complete()
	return f
}

// complete makes the parts that no option gave.
func (f *Forwarder) complete() {
	if f.retrier == nil {
		f.retrier = retrier.New()
	}
	f.avoider = avoider.New(f.clock)
	if f.limiter == nil {
		f.limiter = limiter.New(f.clock)
	}
	if f.guard == nil {
		f.guard = guard.New(f.node, f.clock)
	}
	if f.poisoner == nil {
		f.poisoner = poisoner.New(f.clock)
	}
	if f.pooler == nil {
		f.pooler = pooler.New(pooler.WithClock(f.clock), pooler.WithProgress(DefaultProgress))
	}
	if f.memory == nil {
		f.memory = accountant.New(DefaultMemory)
	}
	share := f.memory.Bound() / memoryShares
	f.bodies = collector.New(f.memory.Share(max(share, f.bodyBound)), f.bodyBound)
	f.answers = collector.New(f.memory.Share(share), f.answerBound)
}

// InFlight returns the requests that are being served.
func (f *Forwarder) InFlight() int { return f.drainer.InFlight() }

// Avoided returns the number of nodes that requests go round at present.
func (f *Forwarder) Avoided() int { return f.avoider.Count() }

// RetriesLeft returns the retries that the tightest budget allows at present.
func (f *Forwarder) RetriesLeft() float64 { return f.retrier.Tightest() }

// Drain refuses all new requests; those in flight go on.
func (f *Forwarder) Drain() { f.drainer.Close() }

// GiveUp ends the requests in flight as if their time were up, so that their callers get
// an answer before the node ends.
func (f *Forwarder) GiveUp() { f.giveUp() }

// Shutdown drains and waits until nothing is in flight.
func (f *Forwarder) Shutdown(ctx context.Context) error {
	f.Drain()
	err := f.drainer.Wait(ctx)
	f.pooler.Close()
	return err
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.drainer.Enter() {
		f.refuse(w, &submission{id: fleet.RequestID(r.Header.Get(fleet.HeaderRequest))},
			refused(fleet.ReasonDraining, "this node shuts down; ask another one"))
		return
	}
	defer f.drainer.Leave()
	if !f.configurations.Ready() {
		f.refuse(w, &submission{id: fleet.RequestID(r.Header.Get(fleet.HeaderRequest))},
			refused(fleet.ReasonNotReady, "this node knows no configuration yet"))
		return
	}
	if r.URL.Path == KeyPath {
		f.issueKey(w)
		return
	}
	s, reason, err := f.parse(r)
	if err != nil {
		f.refuse(w, s, refused(reason, err.Error()))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), s.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(f.ending, func() { end(context.DeadlineExceeded) })()
	if refusal := f.accept(w, s); refusal != nil {
		f.refuse(w, s, refusal)
		return
	}
	defer s.content.Release()
	f.serve(ctx, w, s)
}

// serve finds an answer for an accepted submission and gives it to the caller.
func (f *Forwarder) serve(ctx context.Context, w http.ResponseWriter, s *submission) {
	found := f.find(ctx, s)
	defer found.close()
	if s.mayHaveRun && found.outcome.Executed == fleet.ExecutedNo {
		// The proof is for the last attempt only.
		found.outcome.Executed = fleet.ExecutedUnknown
	}
	if found.answered() {
		f.recorder.Record(f.event(fleet.EventRequest, s, strconv.Itoa(found.exchange.Response.StatusCode)))
		f.answer(w, s, found)
		return
	}
	if found.outcome.Executed == fleet.ExecutedNo {
		f.giveBack(s)
	}
	f.refuse(w, s, found)
}

// find gets an answer. An owner may know better that the request is suspect; then it
// waits for its trial run like one that was known to be suspect from the start.
func (f *Forwarder) find(ctx context.Context, s *submission) *result {
	for {
		if refusal := f.admitSuspect(ctx, s); refusal != nil {
			return refusal
		}
		if refusal := f.obtain(ctx, s); refusal != nil {
			f.endTrial(s)
			return refusal
		}
		found := f.try(ctx, s)
		standing, _ := f.poisoner.Standing(s.identity)
		if found.outcome.Reason != fleet.ReasonSuspect || s.trialNode != "" || standing != poisoner.Suspect {
			return found
		}
	}
}

// accept checks the organisation's limit and holds the body.
func (f *Forwarder) accept(w http.ResponseWriter, s *submission) *result {
	limit, limited := f.configurations.Configuration().Limit(s.organisation)
	if limited && !f.limiter.Allow(limit) {
		return refused(fleet.ReasonLimit, "the organisation is over its limit")
	}
	f.limitReading(w, s.deadline)
	content, err := f.bodies.Collect(s.request.Body, s.request.ContentLength)
	if err != nil {
		return refused(bodyReason(err), err.Error())
	}
	f.limitReading(w, time.Time{})
	s.content = content
	s.identity = identify(s.service, s.request, content.Bytes())
	return nil
}

// limitReading ends a slow upload at the deadline. Writers without deadlines, such
// as those of tests, cannot be slow.
func (f *Forwarder) limitReading(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

// limitWriting bounds the writing of the next part of an answer.
func (f *Forwarder) limitWriting(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(f.clock.Now().Add(f.writeTimeout))
}

// refuse tells the caller why there is no answer.
func (f *Forwarder) refuse(w http.ResponseWriter, s *submission, r *result) {
	f.recorder.Record(f.event(fleet.EventRefusal, s, string(r.outcome.Reason)))
	f.limitWriting(w)
	refuser.Refuse(w, refuser.Refusal{
		Request:  s.id,
		Executed: r.outcome.Executed,
		Reason:   r.outcome.Reason,
		Message:  r.message,
	})
}

// event tells how a submission ended and what decided it.
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
		return event.WithDetail(s.request.Host + s.request.URL.Path)
	}
	event.Figures = append(event.Figures, fleet.Milliseconds("left", s.deadline.Sub(now)))
	return event.WithDetail(string(s.kind) + ": " + strings.Join(s.trace, "; "))
}

// matcher returns the index over the routes in force.
func (f *Forwarder) matcher() *matcher.Matcher {
	configuration := f.configurations.Configuration()
	if m := f.routes.Load(); m != nil && m.Serves(configuration) {
		return m
	}
	m := matcher.New(configuration)
	f.routes.Store(m)
	return m
}

// bodyReason says why a request body could not be held.
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
