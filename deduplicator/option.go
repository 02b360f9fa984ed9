package deduplicator

import "time"

const (
	// DefaultWindow is how long a granted key is remembered.
	DefaultWindow = 10 * time.Minute
	// DefaultMargin bounds the propagation delay of a membership change and the error of
	// callers' clocks.
	DefaultMargin = 15 * time.Second
	// DefaultCapacity is the number of keys remembered at a time.
	DefaultCapacity = 65_536
	// DefaultPause is the gap between two calls of UpdateMembers that counts as a pause of the
	// process.
	DefaultPause = 5 * time.Second
)

// Option changes a setting of a Deduplicator.
type Option func(*Deduplicator)

// WithWindow sets how long a granted key is remembered.
func WithWindow(window time.Duration) Option {
	return func(d *Deduplicator) { d.window = window }
}

// WithMargin sets the bound of the propagation delay of membership changes and of the error
// of callers' clocks.
func WithMargin(margin time.Duration) Option {
	return func(d *Deduplicator) { d.margin = margin }
}

// WithCapacity sets the number of keys remembered at a time.
func WithCapacity(capacity int) Option {
	return func(d *Deduplicator) { d.capacity = capacity }
}

// WithPause sets the gap between two calls of UpdateMembers that counts as a pause.
func WithPause(pause time.Duration) Option {
	return func(d *Deduplicator) { d.pause = pause }
}
