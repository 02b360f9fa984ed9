package journal

import (
	"sync"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/fleet"
)

// DefaultCapacity is the number of entries that a journal keeps.
const DefaultCapacity = 4096

// Journal records events. It is safe for concurrent use.
type Journal struct {
	node     fleet.NodeID
	clock    clockwork.Clock
	logger   *log.Logger
	registry metrics.Registry

	mu       sync.Mutex
	entries  []fleet.Event
	capacity int
	sequence uint64
}

// Option changes a setting of a journal.
type Option func(*Journal)

// WithCapacity sets how many entries are kept; older ones are overwritten.
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
	for _, event := range j.ordered() {
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
	if len(j.entries) < j.capacity {
		j.entries = append(j.entries, event)
		return event
	}
	j.entries[(j.sequence-1)%uint64(j.capacity)] = event
	return event
}

// ordered returns the entries from the oldest to the newest.
func (j *Journal) ordered() []fleet.Event {
	if len(j.entries) < j.capacity {
		return j.entries
	}
	next := int(j.sequence % uint64(j.capacity))
	ordered := make([]fleet.Event, 0, len(j.entries))
	ordered = append(ordered, j.entries[next:]...)
	return append(ordered, j.entries[:next]...)
}
