package retrier

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// MaxAttempts bounds the attempts of one submission.
	MaxAttempts = 3
	// DefaultRatio is the number of retries that each request adds to its service's budget.
	DefaultRatio = 0.1
	// DefaultBurst is the most retries that a service's budget may hold.
	DefaultBurst = 20
	// DefaultBase bounds the delay before the first retry; it doubles with each attempt.
	DefaultBase = 4 * time.Millisecond
	// maxShift bounds how often the delay doubles.
	maxShift = 4
)

// Option changes a setting of a Retrier.
type Option func(*Retrier)

// WithBudget sets the number of retries that each request adds and the most a budget may hold.
func WithBudget(ratio, burst float64) Option {
	return func(r *Retrier) { r.ratio, r.burst = ratio, burst }
}

// WithAllowance replaces the budget by this node's part of the fleet's budget. It is queried for its
// present value each time.
func WithAllowance(allowance func() Allowance) Option {
	return func(r *Retrier) { r.shared = allowance }
}

// WithAttempts bounds the attempts of one submission, including those that reached no backend server.
func WithAttempts(attempts int) Option {
	return func(r *Retrier) { r.attempts = attempts }
}

// WithBase sets the bound of the delay before the first retry.
func WithBase(base time.Duration) Option {
	return func(r *Retrier) { r.base = base }
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *Retrier) { r.clock = clock }
}

// WithRandom sets the source of jitter: a function that returns numbers in [0, 1).
func WithRandom(random func() float64) Option {
	return func(r *Retrier) { r.random = random }
}

// WithOwnerCharge permits a retry beyond this node's budget when another node charges it to its
// own, by ChargeRetry. Submissions are then counted by the owners that send them.
func WithOwnerCharge() Option {
	return func(r *Retrier) { r.ownerCharge = true }
}
