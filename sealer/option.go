package sealer

import "time"

const (
	// DefaultWindow is how long an entry is kept after its last change.
	DefaultWindow = 30 * time.Second
	// DefaultCapacity is the number of submissions remembered at a time.
	DefaultCapacity = 65_536
	// MaxAttempt is the highest attempt number of a submission.
	MaxAttempt = 63
)

// Option changes a setting of a Sealer.
type Option func(*Sealer)

// WithWindow sets how long an entry is kept after its last change.
func WithWindow(window time.Duration) Option {
	return func(s *Sealer) { s.window = window }
}

// WithCapacity sets the number of submissions remembered at a time.
func WithCapacity(capacity int) Option {
	return func(s *Sealer) { s.capacity = capacity }
}
