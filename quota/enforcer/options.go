package enforcer

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/fleet"
)

// Members lists the nodes of the fleet.
type Members interface {
	Members() []fleet.Member
}

// ConfigurationSource provides the configuration in force.
type ConfigurationSource interface {
	Configuration() fleet.Configuration
}

// Recorder records events.
type Recorder interface {
	Record(event fleet.Event)
}

// noRecorder drops events.
type noRecorder struct{}

// Record does nothing.
func (noRecorder) Record(fleet.Event) {}

// Option configures an Enforcer.
type Option func(*Enforcer)

// WithClock sets the clock of time limits and periods.
func WithClock(clock clockwork.Clock) Option {
	return func(e *Enforcer) { e.clock = clock }
}

// WithElapsed sets the function that returns the time since any fixed moment. It must count the
// time in which this node is frozen, and must not follow changes of the time of day.
func WithElapsed(elapsed func() time.Duration) Option {
	return func(e *Enforcer) { e.elapsed = elapsed }
}

// WithFirstStart tells that the whole fleet starts for the first time, so that no credit was
// granted before.
func WithFirstStart() Option {
	return func(e *Enforcer) { e.firstStart = true }
}

// WithJoined sets the function that reports whether this node has joined the fleet. Before, it
// does not know who the home nodes are.
func WithJoined(joined func() bool) Option {
	return func(e *Enforcer) { e.joined = joined }
}

// WithRecorder sets the recorder of events.
func WithRecorder(recorder Recorder) Option {
	return func(e *Enforcer) { e.recorder = recorder }
}

// WithRegistry sets the registry that holds the counters.
func WithRegistry(registry metrics.Registry) Option {
	return func(e *Enforcer) { e.registry = registry }
}
