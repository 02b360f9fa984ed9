package roster

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	defaultRetention = time.Hour
	// defaultLeftRetention suits the default lease of registrars.
	defaultLeftRetention = 30 * time.Second
)

// Option configures a Roster.
type Option func(*Roster)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *Roster) { r.clock = clock }
}

// WithRetention sets how long tombstones are kept.
func WithRetention(retention time.Duration) Option {
	return func(r *Roster) { r.retention = retention }
}

// WithLeftRetention sets how long it is remembered that a backend server said that it leaves.
// It must be over before its identifier may be used again.
func WithLeftRetention(retention time.Duration) Option {
	return func(r *Roster) { r.leftRetention = retention }
}
