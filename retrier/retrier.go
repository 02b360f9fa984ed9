// Package retrier decides whether a failed attempt is tried again. It does no I/O.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Retrier holds a retry budget for each service. It is safe for concurrent use.
type Retrier struct {
	ratio  float64
	burst  float64
	base   time.Duration
	random func() float64

	mu      sync.Mutex
	budgets map[fleet.ServiceName]float64
}

// New returns a retrier with full budgets.
func New(options ...Option) *Retrier {
	r := &Retrier{
		ratio:   DefaultRatio,
		burst:   DefaultBurst,
		base:    DefaultBase,
		random:  rand.Float64,
		budgets: make(map[fleet.ServiceName]float64),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Begin counts a new submission, which earns its service a share of a retry.
func (r *Retrier) Begin(service fleet.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets[service] = min(r.burst, r.budget(service)+r.ratio)
}

// Decide says whether the submission is tried again, and spends the budget if so.
func (r *Retrier) Decide(a Attempt) Decision {
	refusal := Decision{Reason: a.Outcome.Reason}
	if a.Number >= MaxAttempts || a.Remaining <= 0 || !Repeatable(a.Outcome, a.Idempotent) {
		return refusal
	}
	delay := time.Duration(r.random() * float64(r.base<<(a.Number-1)))
	if delay >= a.Remaining {
		return refusal
	}
	if !r.spend(a.Service) {
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

func (r *Retrier) spend(service fleet.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.budget(service)
	if budget < 1 {
		return false
	}
	r.budgets[service] = budget - 1
	return true
}

func (r *Retrier) budget(service fleet.ServiceName) float64 {
	budget, found := r.budgets[service]
	if !found {
		return r.burst
	}
	return budget
}
