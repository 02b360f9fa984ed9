package broadcaster

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxCalls bounds the concurrent calls to other nodes.
	maxCalls = 32
	// callTimeout bounds one call.
	callTimeout = 250 * time.Millisecond
	// retryInterval is the time between two attempts at failed deliveries.
	retryInterval = time.Second
	// retryWindow is how long a delivery is retried.
	retryWindow = time.Minute
	// capacity is the number of failed deliveries kept for a retry.
	capacity = 4096
)

// Option changes a setting of a Broadcaster.
type Option func(*Broadcaster)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(b *Broadcaster) { b.clock = clock }
}
