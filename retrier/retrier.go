// Package retrier decides whether a failed attempt is retried. It does no I/O.
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
	ratio float64
	burst float64
	// shared returns the node's part of the fleet's budget, where there is one.
	shared func() Allowance
	// ownerCharge is set when the budgets of other nodes may be charged.
	ownerCharge bool
	attempts    int
	base        time.Duration
	random      func() float64
	clock       clockwork.Clock
	start       time.Time

	mu       sync.Mutex
	accounts map[fleet.ServiceName]account
}

// New returns a retrier with full budgets.
func New(options ...Option) *Retrier {
	r := &Retrier{
		ratio:    DefaultRatio,
		burst:    DefaultBurst,
		attempts: MaxAttempts,
		base:     DefaultBase,
		random:   rand.Float64,
		clock:    clockwork.NewRealClock(),
		accounts: make(map[fleet.ServiceName]account),
	}
	for _, option := range options {
		option(r)
	}
	r.start = r.clock.Now()
	return r
}

// now returns the monotonic time since the start; the wall clock may jump.
func (r *Retrier) now() time.Duration { return r.clock.Since(r.start) }

// Begin counts a new submission, which adds to the retry budget of its service. It reports
// whether it was counted here; otherwise the owner that sends it to its backend server counts
// it, by RecordRequest.
//
// Load that this answers: many ingresses that each see few requests of a service, so that none
// earns a whole retry while the fleet's budget is hardly used. A service has fewer owners.
func (r *Retrier) Begin(service fleet.ServiceName) (counted bool) {
	if r.ownerCharge {
		return false
	}
	r.RecordRequest(service, 0)
	return true
}

// RecordRequest counts a request that was received this long ago, here or at another node that
// has not counted it.
func (r *Retrier) RecordRequest(service fleet.ServiceName, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A request from before the start is not counted: what an earlier process charged for it is not known.
	if at := r.now() - max(age, 0); at >= 0 {
		r.account(service).recordRequest(at)
	}
}

// Remaining returns the number of retries that the budget of a service allows at present.
func (r *Retrier) Remaining(service fleet.ServiceName) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account(service).remaining(r.now())
}

// LeastRemaining returns the smallest remaining budget of the services that had requests; 0 when none had.
func (r *Retrier) LeastRemaining() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	least, found := 0.0, false
	for _, budget := range r.accounts {
		if remaining := budget.remaining(r.now()); !found || remaining < least {
			least, found = remaining, true
		}
	}
	return least
}

// Decide returns whether the submission is retried, and charges the budget if it is.
func (r *Retrier) Decide(a Attempt) Decision {
	refusal := Decision{Reason: a.Outcome.Reason}
	if a.Number >= r.attempts || a.Remaining <= 0 || !a.repeatable() {
		return refusal
	}
	delay := time.Duration(r.random() * float64(r.base<<min(a.Number-1, maxShift)))
	if delay >= a.Remaining {
		return refusal
	}
	cost := r.retryCost(a)
	switch {
	case a.Charged:
		return Decision{Retry: true, Delay: delay, Reason: a.Outcome.Reason}
	case a.Outcome.Reason == fleet.ReasonStopped:
		// Each node that stops hands back a few requests at most, whose callers would lose them
		// to planned work. Later retries make up for it.
		r.owe(a.Service, cost)
		return Decision{Retry: true, Reason: a.Outcome.Reason}
	case r.charge(a.Service, cost):
		return Decision{Retry: true, Delay: delay, Reason: a.Outcome.Reason}
	case r.ownerCharge:
		return Decision{Retry: true, Delay: delay, Reason: a.Outcome.Reason, RetryCost: cost}
	default:
		return Decision{Reason: fleet.ReasonBudget}
	}
}

// Allows reports whether Decide would retry the submission at present. It charges nothing. Where
// other nodes may be charged, their budgets are not known here, and it reports that they allow it.
func (r *Retrier) Allows(a Attempt) bool {
	_, allowed := r.Quote(a)
	return allowed
}

// Quote is Allows, with the cost to charge to the retry budget of the next backend server's owner; 0
// while this node's budget covers the retry, for one that is charged already, and for a request that a planned
// stop ends, which Decide charges to this node's budget in any case.
func (r *Retrier) Quote(a Attempt) (ownerCost float64, allowed bool) {
	if a.Number >= r.attempts || a.Remaining <= 0 || !a.repeatable() {
		return 0, false
	}
	cost := r.retryCost(a)
	if a.Charged || a.Outcome.Reason == fleet.ReasonStopped || r.Remaining(a.Service) >= cost {
		return 0, true
	}
	return cost, r.ownerCharge
}

// ChargeRetry charges a retry of another node to this node's budget and reports whether it allows it.
func (r *Retrier) ChargeRetry(service fleet.ServiceName, cost float64) bool {
	return r.charge(service, cost)
}

// Repeatable reports whether an outcome permits another attempt at all.
func Repeatable(outcome fleet.Outcome, idempotent bool) bool {
	switch outcome.Reason {
	case fleet.ReasonCrash, fleet.ReasonOwnersLost, fleet.ReasonPoison, fleet.ReasonSuspect, fleet.ReasonDuplicate, fleet.ReasonDeduplicator,
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

// retryCost returns the cost of a retry.
func (r *Retrier) retryCost(a Attempt) float64 {
	if r.shared != nil {
		return r.shared().retryCost(a)
	}
	return 1
}

// owe charges a budget, also beyond what remains.
func (r *Retrier) owe(service fleet.ServiceName, cost float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.account(service).charge(r.now(), cost)
}

// charge charges a budget and reports whether enough remained.
func (r *Retrier) charge(service fleet.ServiceName, cost float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	budget := r.account(service)
	if budget.remaining(now) < cost {
		return false
	}
	budget.charge(now, cost)
	return true
}

func (r *Retrier) account(service fleet.ServiceName) account {
	budget, found := r.accounts[service]
	if found {
		return budget
	}
	if r.shared != nil {
		budget = newWindow(r.shared)
	} else {
		budget = &bucket{ratio: r.ratio, burst: r.burst, tokens: r.burst}
	}
	r.accounts[service] = budget
	return budget
}
