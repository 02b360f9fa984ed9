package recorder

import (
	"sync"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/fleet"
)

// DefaultCapacity is the number of entries that a journal keeps for decisions
// and, separately, for single requests.
const DefaultCapacity = 4096

// sampleSize and sampleAlpha are the values of go-metrics' timers: the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Recorder records events. It is safe for concurrent use.
type Recorder struct {
	node     fleet.NodeID
	clock    clockwork.Clock
	logger   *log.Logger
	registry metrics.Registry

	mu       sync.Mutex
	capacity int
	sequence uint64
	// decisions and requests are kept separately, so that a flood of refused
	// requests does not push out the rare decisions that explain it.
	decisions *window
	requests  *window
}

// Option changes a setting of a recorder.
type Option func(*Recorder)

// WithCapacity sets how many entries are kept of each sort; older ones are overwritten.
func WithCapacity(entries int) Option { return func(r *Recorder) { r.capacity = max(entries, 1) } }

// WithClock sets the clock that stamps events.
func WithClock(clock clockwork.Clock) Option { return func(r *Recorder) { r.clock = clock } }

// WithLogger sets where the log lines go; without one none are written.
func WithLogger(logger *log.Logger) Option { return func(r *Recorder) { r.logger = logger } }

// WithRegistry sets the registry that holds the counters.
func WithRegistry(registry metrics.Registry) Option {
	return func(r *Recorder) { r.registry = registry }
}

// New returns an empty recorder of a node.
func New(node fleet.NodeID, options ...Option) *Recorder {
	r := &Recorder{
		node: node, clock: clockwork.NewRealClock(),
		registry: metrics.NewRegistry(), capacity: DefaultCapacity,
	}
	for _, option := range options {
		option(r)
	}
	r.decisions = newWindow(r.capacity)
	r.requests = newWindow(r.capacity)
	return r
}

// Registry returns the registry that holds the counters.
func (r *Recorder) Registry() metrics.Registry { return r.registry }

// Record stamps an event with time, node and sequence, then journals, counts and logs it.
func (r *Recorder) Record(event fleet.Event) {
	event = r.appendStamped(event)
	metrics.GetOrRegisterCounter(counterName(event), r.registry).Inc(1)
	r.measure(event)
	if r.logger != nil {
		r.logger.Info(string(event.Kind), fields(event)...)
	}
}

// Events returns the entries that match, oldest first. Empty arguments match
// everything; limit 0 returns all, otherwise the newest.
func (r *Recorder) Events(subject string, service fleet.ServiceName, limit int) []fleet.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var matching []fleet.Event
	for _, event := range merge(r.decisions.ordered(), r.requests.ordered()) {
		if subject != "" && event.Subject != subject {
			continue
		}
		if service != "" && event.Service != service {
			continue
		}
		matching = append(matching, event)
	}
	if limit > 0 && len(matching) > limit {
		matching = matching[len(matching)-limit:]
	}
	return matching
}

// appendStamped stamps an event, adds it to the journal and returns it.
func (r *Recorder) appendStamped(event fleet.Event) fleet.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	event.Time = r.clock.Now()
	event.Node = r.node
	event.Sequence = r.sequence
	r.windowOf(event.Kind).add(event)
	return event
}

// measure adds the times of a request to histograms.
func (r *Recorder) measure(event fleet.Event) {
	if event.Kind != fleet.EventRequest && event.Kind != fleet.EventRefusal && event.Kind != fleet.EventAttempt {
		return
	}
	for _, figure := range event.Figures {
		if figure.Unit != "ms" {
			continue
		}
		name := string(event.Kind) + "." + figure.Name + "ms"
		sample := func() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleAlpha) }
		histogram := r.registry.GetOrRegister(name, func() metrics.Histogram { return metrics.NewHistogram(sample()) })
		histogram.(metrics.Histogram).Update(int64(figure.Value))
	}
}

// windowOf returns the window that keeps events of a kind.
func (r *Recorder) windowOf(kind fleet.EventKind) *window {
	switch kind {
	case fleet.EventRefusal, fleet.EventRetry, fleet.EventSealed, fleet.EventRequest, fleet.EventAttempt, fleet.EventAbandoned, fleet.EventSearch, fleet.EventHedge,
		fleet.EventTrial:
		return r.requests
	default:
		return r.decisions
	}
}
