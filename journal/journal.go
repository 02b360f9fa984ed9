package journal

import (
	"sync"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/fleet"
)

// DefaultCapacity is the number of entries that a journal keeps of decisions
// and, apart from them, of single requests.
const DefaultCapacity = 4096

// Journal records events. It is safe for concurrent use.
type Journal struct {
	node     fleet.NodeID
	clock    clockwork.Clock
	logger   *log.Logger
	registry metrics.Registry

	mu       sync.Mutex
	capacity int
	sequence uint64
	// decisions and requests are apart, so that a flood of refused requests
	// does not push out the rare decisions that explain it.
	decisions *window
	requests  *window
}

// Option changes a setting of a journal.
type Option func(*Journal)

// WithCapacity sets how many entries are kept of either sort; older ones are overwritten.
func WithCapacity(entries int) Option { return func(j *Journal) { j.capacity = max(entries, 1) } }

// WithClock sets the clock that stamps events.
func WithClock(clock clockwork.Clock) Option { return func(j *Journal) { j.clock = clock } }

// WithLogger sets where the log lines go; without one none are written.
func WithLogger(logger *log.Logger) Option { return func(j *Journal) { j.logger = logger } }

// WithRegistry sets the registry that holds the counters.
func WithRegistry(registry metrics.Registry) Option {
	return func(j *Journal) { j.registry = registry }
}

// New returns an empty journal of a node.
func New(node fleet.NodeID, options ...Option) *Journal {
	j := &Journal{
		node: node, clock: clockwork.NewRealClock(),
		registry: metrics.NewRegistry(), capacity: DefaultCapacity,
	}
	for _, option := range options {
		option(j)
	}
	j.decisions = newWindow(j.capacity)
	j.requests = newWindow(j.capacity)
	return j
}

// Registry returns the registry that holds the counters.
func (j *Journal) Registry() metrics.Registry { return j.registry }

// Record stamps an event with time, node and sequence, and enters it.
func (j *Journal) Record(event fleet.Event) {
	event = j.enter(event)
	metrics.GetOrRegisterCounter(counterName(event), j.registry).Inc(1)
	if j.logger != nil {
		j.logger.Info(string(event.Kind), fields(event)...)
	}
}

// Events returns the entries that match, oldest first. Empty arguments match
// everything; limit 0 returns all, otherwise the newest.
func (j *Journal) Events(subject string, service fleet.ServiceName, limit int) []fleet.Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var matching []fleet.Event
	for _, event := range merge(j.decisions.ordered(), j.requests.ordered()) {
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

// enter adds a stamped event to the journal and returns it.
func (j *Journal) enter(event fleet.Event) fleet.Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sequence++
	event.Time = j.clock.Now()
	event.Node = j.node
	event.Sequence = j.sequence
	j.windowOf(event.Kind).add(event)
	return event
}

// windowOf returns the window that keeps events of a kind.
func (j *Journal) windowOf(kind fleet.EventKind) *window {
	switch kind {
	case fleet.EventRefusal, fleet.EventRetry, fleet.EventSealed:
		return j.requests
	default:
		return j.decisions
	}
}
