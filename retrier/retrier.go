// Package retrier decides whether a failed attempt is tried again. It does no I/O.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

// Retrier holds a retry budget for each service. It is safe for concurrent use.
type Retrier struct {
	allowance Allowance
	// shared returns the allowance at present, where it changes with the fleet.
	shared   func() Allowance
	attempts int
	base     time.Duration
	random   func() float64
	clock    clockwork.Clock

	mu      sync.Mutex
	budgets map[fleet.ServiceName]*budget
}

// New returns a retrier with full budgets.
func New(options ...Option) *Retrier {
	r := &Retrier{
		allowance: Allowance{PerRequest: DefaultRatio, Burst: DefaultBurst, Start: DefaultBurst, Unreached: 1, Reached: 1, Ran: 1},
		attempts:  MaxAttempts,
		base:      DefaultBase,
		random:    rand.Float64,
		clock:     clockwork.NewRealClock(),
		budgets:   make(map[fleet.ServiceName]*budget),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Begin counts a new submission, which earns its service a share of a retry.
func (r *Retrier) Begin(service fleet.ServiceName) {
	allowance := r.current()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service, allowance).add(allowance.PerRequest, allowance.Burst)
}

// Left returns the retries that a service may make at present.
func (r *Retrier) Left(service fleet.ServiceName) float64 {
	allowance := r.current()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service, allowance).tokens
}

// Decide says whether the submission is tried again, and spends the budget if so.
func (r *Retrier) Decide(a Attempt) Decision {
	refusal := Decision{Reason: a.Outcome.Reason}
	if a.Number >= r.attempts || a.Remaining <= 0 || !a.repeatable() {
		return refusal
	}
	delay := time.Duration(r.random() * float64(r.base<<min(a.Number-1, maxShift)))
	if delay >= a.Remaining {
		return refusal
	}
	if !r.spend(a) {
		return Decision{Reason: fleet.ReasonBudget}
	}
	return Decision{Retry: true, Delay: delay, Reason: a.Outcome.Reason}
}

// Repeatable reports whether an outcome permits another attempt at all.
func Repeatable(outcome fleet.Outcome, idempotent bool) bool {
	switch outcome.Reason {
	case fleet.ReasonCrash, fleet.ReasonLost, fleet.ReasonPoison, fleet.ReasonSuspect, fleet.ReasonDuplicate, fleet.ReasonGuard,
		fleet.ReasonCancelled, fleet.ReasonTooLarge, fleet.ReasonBadRequest, fleet.ReasonLimit:
		return false
	}
	switch outcome.Executed {
	case fleet.ExecutedNo:
		return true
	case fleet.ExecutedUnknown:
		return idempotent
	default:
		return false
	}
}

func (r *Retrier) spend(a Attempt) bool {
	allowance := r.current()
	cost := allowance.cost(a)
	r.mu.Lock()
	defer r.mu.Unlock()
	left := r.budget(a.Service, allowance)
	if left.tokens < cost {
		return false
	}
	left.tokens -= cost
	return true
}

func (r *Retrier) current() Allowance {
	if r.shared == nil {
		return r.allowance
	}
	return r.shared()
}

// budget returns what is left for a service, refilled up to now.
func (r *Retrier) budget(service fleet.ServiceName, allowance Allowance) *budget {
	now := r.clock.Now()
	left, found := r.budgets[service]
	if !found {
		left = &budget{refilled: now, tokens: allowance.Start}
		r.budgets[service] = left
	}
	left.refill(now, allowance.PerSecond, allowance.Burst)
	return left
}
