package quarantiner

import "time"

const (
	// DefaultDuration is how long an identity stays suspect or poison after its last crash.
	DefaultDuration = 10 * time.Minute
	// TrialDuration bounds a trial request, measured by its ingress from its request for the
	// permission.
	TrialDuration = 30 * time.Second
	// DefaultCapacity is the number of identities remembered at a time.
	DefaultCapacity = 8192
)

// Option changes a setting of a Quarantiner.
type Option func(*Quarantiner)

// WithDuration sets how long an identity stays suspect or poison.
func WithDuration(duration time.Duration) Option {
	return func(q *Quarantiner) { q.duration = duration }
}

// WithCapacity sets the number of identities remembered at a time.
func WithCapacity(capacity int) Option {
	return func(q *Quarantiner) { q.capacity = capacity }
}
