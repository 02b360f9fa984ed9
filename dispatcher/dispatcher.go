// Package dispatcher is the owner's side of the request path: it admits attempts
// to the backend servers of its VM, dispatches them and reports reliably whether
// they ran.
package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/deduplicator"
	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/estimator"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/reserver"
	"cowsliptally.example/cowsliptally/sealer"
	"cowsliptally.example/cowsliptally/verifier"
)

// PathPrefix is the prefix of the paths of requests between nodes.
const PathPrefix = "/dispatch"

// Dispatcher serves the requests that other nodes send to this owner. It is an
// http.Handler for PathPrefix and the handler of the request service.
type Dispatcher struct {
	node            fleet.NodeID
	localBackends   LocalBackends
	clock           clockwork.Clock
	configurations  ConfigurationSource
	observer        Observer
	recorder        Recorder
	retryBudget     RetryBudget
	suspectReporter SuspectReporter
	members         Members
	sealer          *sealer.Sealer
	deduplicator    *deduplicator.Deduplicator
	quarantiner     *quarantiner.Quarantiner
	pooler          *pooler.Pooler
	verifier        *verifier.Verifier
	memory          *accountant.Accountant
	bodies          *collector.Collector
	answers         *collector.Collector
	bodyBound       int64
	answerBound     int64
	heartbeat       time.Duration
	// writeTimeout bounds the writing of one part of an answer.
	writeTimeout time.Duration
	dialect      Dialect
	undelimited  bool
	requireEcho  bool
	estimates    bool
	work         *drainer.Drainer
	usage        *admitter.Usage
	// reservations holds the slots of offered attempts.
	reservations *reserver.Reserver[attemptKey, reservation]
	// handingBack is cancelled when the requests that may run again elsewhere are handed back.
	handingBack context.Context
	handBack    context.CancelFunc
	// stopping is the stop of the node.
	stopping *stopping

	// declined counts the attempts that were refused because the node or their backend server
	// leaves.
	declined atomic.Int64

	mu    sync.Mutex
	gates map[fleet.BackendID]*gate
	// due is when admitted attempts have to be done, and end when the node ends those that are not; zero while
	// the node does not stop.
	due, end time.Time
	// retired is set once each backend server gets one request at a time.
	retired bool
	// drained is set once attempts that wait for a slot are refused.
	drained bool
}

// New returns the dispatcher of a node.
func New(node fleet.NodeID, localBackends LocalBackends, options ...Option) *Dispatcher {
	d := &Dispatcher{
		node:            node,
		localBackends:   localBackends,
		clock:           clockwork.NewRealClock(),
		configurations:  noop{},
		observer:        noop{},
		recorder:        noop{},
		retryBudget:     noop{},
		suspectReporter: noop{},
		members:         noop{},
		bodyBound:       DefaultBodyBound,
		answerBound:     DefaultAnswerBound,
		heartbeat:       DefaultHeartbeat,
		writeTimeout:    DefaultWriteTimeout,
		dialect:         native{},
		work:            drainer.New(),
		usage:           admitter.NewUsage(),
		gates:           make(map[fleet.BackendID]*gate),
	}
	d.handingBack, d.handBack = context.WithCancel(context.Background())
	for _, option := range options {
		option(d)
	}
	d.setDefaults()
	return d
}

// setDefaults creates the components that no option set.
func (d *Dispatcher) setDefaults() {
	if d.sealer == nil {
		d.sealer = sealer.New(d.node, d.clock)
	}
	if d.deduplicator == nil {
		d.deduplicator = deduplicator.New(d.node, d.clock)
	}
	if d.quarantiner == nil {
		d.quarantiner = quarantiner.New(d.clock)
	}
	if d.pooler == nil {
		d.pooler = pooler.New(pooler.WithClock(d.clock), pooler.WithProgress(DefaultProgressTimeout))
	}
	if d.memory == nil {
		d.memory = accountant.New(DefaultMemory)
	}
	d.verifier = verifier.New(verifier.WithClock(d.clock), verifier.WithCutHandler(d.pooler.Renew))
	d.stopping = newStopping(d.clock)
	d.reservations = reserver.New[attemptKey](d.clock, reservationTime, reservation.release)
	d.bodies = collector.New(d.memory, d.bodyBound)
	d.answers = collector.New(d.memory.Share(d.memory.Bound()/memoryShares), d.answerBound)
}

// InFlight returns the number of requests that run on a backend server.
func (d *Dispatcher) InFlight(id fleet.BackendID) int {
	running, _ := d.Load(id)
	return running
}

// Load returns the numbers of requests that run on a backend server and that wait for it.
func (d *Dispatcher) Load(id fleet.BackendID) (running, waiting int) {
	g := d.existingGate(id)
	if g == nil {
		return 0, 0
	}
	return g.load()
}

// FailingCount returns the number of backend servers that are suspected failing.
func (d *Dispatcher) FailingCount() (count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range d.gates {
		if g.failing() {
			count++
		}
	}
	return count
}

// ServeHTTP serves one attempt.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := parseCall(r.Header, d.clock.Now())
	if err != nil {
		d.refuse(w, c, refused(fleet.ReasonBadRequest), err.Error())
		return
	}
	// A refusal before the end of the body has the server read what is left of it.
	limitReading(w, c.deadline)
	kind, entered := d.enter()
	if !entered {
		d.refuse(w, c, refused(fleet.ReasonDraining), "the node shuts down")
		return
	}
	defer d.work.Leave(kind)
	if !d.sealer.Fresh(c.ticket) {
		d.refuse(w, c, refused(fleet.ReasonTicket), "the ticket is too old")
		return
	}
	backend, g, reason := d.accepts(c)
	if reason != "" {
		d.refuse(w, c, refused(reason), "the backend server takes no work")
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	content, err := d.bodies.Collect(r.Body, r.ContentLength)
	if err != nil {
		d.refuse(w, c, refused(bodyReason(err)), err.Error())
		return
	}
	defer content.Release()
	limitReading(w, time.Time{})
	a := &attempt{dispatcher: d, call: c, backend: backend, gate: g, request: r, content: content.Bytes()}
	ctx, release := a.withHandBack(ctx)
	defer release()
	a.serve(ctx, w)
}

// accepts returns the backend server of a call and its gate, or the reason why the call is
// refused at once.
func (d *Dispatcher) accepts(c call) (fleet.Backend, *gate, fleet.Reason) {
	backend, reason := d.available(c)
	if reason != "" {
		return backend, nil, reason
	}
	g := d.gate(backend)
	if g.rejects(c) {
		return backend, g, fleet.ReasonFailing
	}
	return backend, g, ""
}

// available returns the backend server of a call, or the reason why it accepts no
// requests. In that case all attempts that wait for it are refused as well.
func (d *Dispatcher) available(c call) (fleet.Backend, fleet.Reason) {
	backend, found := d.localBackends.Backend(c.backend)
	reason := fleet.Reason("")
	switch {
	case !found || backend.State == fleet.BackendGone:
		reason = fleet.ReasonGone
	case !backend.AcceptsRequests():
		reason = fleet.ReasonDraining
	}
	if g := d.existingGate(c.backend); g != nil && reason != "" {
		g.close()
	}
	return backend, reason
}

// existingGate returns the gate of a backend server that was used before, or nil.
func (d *Dispatcher) existingGate(id fleet.BackendID) *gate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gates[id]
}

// gate returns the gate of a backend server, creating it if needed.
func (d *Dispatcher) gate(backend fleet.Backend) *gate {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, found := d.gates[backend.ID]
	if !found {
		d.removeStaleGates()
		g = newGate(backend.Slots, d.usage, d.clock)
		if d.estimates {
			g.estimator = estimator.New(d.clock.Now())
		}
		if !d.due.IsZero() {
			g.stop(d.due, d.end)
		}
		if d.retired {
			g.retire()
		}
		d.gates[backend.ID] = g
	}
	if d.drained { // since the attempt entered
		g.close()
		return g
	}
	g.open(backend.Slots)
	return g
}

// removeStaleGates removes the idle gates of backend servers that are gone.
func (d *Dispatcher) removeStaleGates() {
	for id, g := range d.gates {
		running, waiting := g.load()
		if _, found := d.localBackends.Backend(id); !found && running+waiting == 0 {
			delete(d.gates, id)
		}
	}
}
