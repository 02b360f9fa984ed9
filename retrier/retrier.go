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
	ratio float64
	burst float64
	// shared returns the node's part of the fleet's budget, where there is one.
	shared func() Allowance
	// loans is set when other nodes may pay.
	loans    bool
	attempts int
	base     time.Duration
	random   func() float64
	clock    clockwork.Clock
	start    time.Time

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

// now returns the steady time since the start; the time of day may jump.
func (r *Retrier) now() time.Duration { return r.clock.Since(r.start) }

// Begin counts a new submission, which earns its service a share of a retry.
func (r *Retrier) Begin(service fleet.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.account(service).request(r.now())
}

// Left returns the retries that a service may make at present.
func (r *Retrier) Left(service fleet.ServiceName) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account(service).left(r.now())
}

// Tightest returns the least that is left for any service that had requests; 0 when none had.
func (r *Retrier) Tightest() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	tightest, found := 0.0, false
	for _, known := range r.accounts {
		if left := known.left(r.now()); !found || left < tightest {
			tightest, found = left, true
		}
	}
	return tightest
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
	cost := r.cost(a)
	switch {
	case r.spend(a.Service, cost):
		return Decision{Retry: true, Delay: delay, Reason: a.Outcome.Reason}
	case r.loans:
		return Decision{Retry: true, Delay: delay, Reason: a.Outcome.Reason, Owed: cost}
	default:
		return Decision{Reason: fleet.ReasonBudget}
	}
}

// Lend pays for a retry of another node and reports whether this node's budget allows it.
func (r *Retrier) Lend(service fleet.ServiceName, owed float64) bool { return r.spend(service, owed) }

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

// cost returns the price of a retry.
func (r *Retrier) cost(a Attempt) float64 {
	if r.shared != nil {
		return r.shared().cost(a)
	}
	return 1
}

func (r *Retrier) spend(service fleet.ServiceName, cost float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	left := r.account(service)
	if left.left(now) < cost {
		return false
	}
	left.spend(now, cost)
	return true
}

func (r *Retrier) account(service fleet.ServiceName) account {
	known, found := r.accounts[service]
	if found {
		return known
	}
	if r.shared != nil {
		known = newWindow(r.shared)
	} else {
		known = &bucket{ratio: r.ratio, burst: r.burst, tokens: r.burst}
	}
	r.accounts[service] = known
	return known
}
