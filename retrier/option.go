package retrier

import "time"

const (
	// MaxAttempts bounds the attempts of one submission.
	MaxAttempts = 3
	// DefaultRatio is the share of retries that each request earns its service.
	DefaultRatio = 0.1
	// DefaultBurst is the number of retries a service may save up.
	DefaultBurst = 20
	// DefaultBase bounds the delay before the first retry; it doubles with each attempt.
	DefaultBase = 4 * time.Millisecond
)

// Option changes a setting of a Retrier.
type Option func(*Retrier)

// WithBudget sets the share of retries earned by each request and the number that may be saved up.
func WithBudget(ratio, burst float64) Option {
	return func(r *Retrier) { r.ratio, r.burst = ratio, burst }
}

// WithBase sets the bound of the delay before the first retry.
func WithBase(base time.Duration) Option {
	return func(r *Retrier) { r.base = base }
}

// WithRandom sets the source of jitter: a function that returns numbers in [0, 1).
func WithRandom(random func() float64) Option {
	return func(r *Retrier) { r.random = random }
}
