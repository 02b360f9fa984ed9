package roster

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const defaultRetention = time.Hour

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
