package spreader

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// parallel bounds the calls to other nodes at a time.
	parallel = 32
	// callTimeout bounds one call.
	callTimeout = 250 * time.Millisecond
	// spacing is the time between two tries of what a node could not be told.
	spacing = time.Second
	// patience is how long a node is tried.
	patience = time.Minute
	// capacity is the number of messages that wait for another try.
	capacity = 4096
)

// Option changes a setting of a Spreader.
type Option func(*Spreader)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Spreader) { s.clock = clock }
}
