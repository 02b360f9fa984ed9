package retrier_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/retrier"
)

func outcome(executed fleet.Executed, reason fleet.Reason) fleet.Outcome {
	return fleet.Outcome{Executed: executed, Reason: reason}
}

// TestRetriesOnlyWhatIsSafe checks that no reason permits a retry of a non-idempotent request
// that may have run, or of a request with an answer.
func TestRetriesOnlyWhatIsSafe(t *testing.T) {
	is := is.New(t)
	for _, reason := range fleet.Reasons() {
		is.True(!retrier.Repeatable(outcome(fleet.ExecutedUnknown, reason), false)) // not idempotent, may have run
		is.True(!retrier.Repeatable(outcome(fleet.ExecutedYes, reason), true))      // there is an answer
	}
	is.True(retrier.Repeatable(outcome(fleet.ExecutedNo, fleet.ReasonBusy), false))
	is.True(retrier.Repeatable(outcome(fleet.ExecutedUnknown, fleet.ReasonBroken), true))
	is.True(!retrier.Repeatable(outcome(fleet.ExecutedUnknown, fleet.ReasonCrash), true))
	is.True(!retrier.Repeatable(outcome(fleet.ExecutedNo, fleet.ReasonPoison), true))
}

// TestBudgetBoundsRetries fails every attempt of many submissions: a brown-out.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	r := retrier.New()
	const submissions = 10_000
	retries := 0
	for range submissions {
		r.Begin("ledger")
		for number := 1; ; number++ {
			d := r.Decide(retrier.Attempt{
				Service: "ledger", Number: number, Outcome: outcome(fleet.ExecutedNo, fleet.ReasonBusy), Remaining: time.Second,
			})
			if !d.Retry {
				break
			}
			retries++
		}
	}
	t.Logf("%.4f retries a request", float64(retries)/submissions)
	is.Equal(retries, submissions/10+retrier.DefaultBurst-1) // the first submission adds nothing: the budget is full
	is.True(r.Decide(retrier.Attempt{Service: "intake", Number: 1, Outcome: outcome(fleet.ExecutedNo, fleet.ReasonBusy), Remaining: time.Second}).Retry)
}

func TestBoundsAttemptsAndDelays(t *testing.T) {
	is := is.New(t)
	r := retrier.New(retrier.WithRandom(func() float64 { return 0.5 }), retrier.WithBase(8*time.Millisecond))
	busy := outcome(fleet.ExecutedNo, fleet.ReasonBusy)
	is.Equal(r.Decide(retrier.Attempt{Number: 1, Outcome: busy, Remaining: time.Second}).Delay, 4*time.Millisecond)
	is.Equal(r.Decide(retrier.Attempt{Number: 2, Outcome: busy, Remaining: time.Second}).Delay, 8*time.Millisecond)
	is.True(!r.Decide(retrier.Attempt{Number: retrier.MaxAttempts, Outcome: busy, Remaining: time.Second}).Retry)
	is.True(!r.Decide(retrier.Attempt{Number: 1, Outcome: busy, Remaining: 4 * time.Millisecond}).Retry)
}

// TestRequestsHandedBackAreSentAgain guards against requests that are lost to a planned stop because
// the budget is spent, and against retries that nobody pays for.
func TestRequestsHandedBackAreSentAgain(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := retrier.New(retrier.WithClock(clock), retrier.WithAllowance(func() retrier.Allowance {
		return retrier.Allowance{Slack: 2, Window: 10 * time.Second, UnreachedCost: 1, ReachedCost: 1, RanCost: 1}
	}))
	stopped := retrier.Attempt{Service: "ledger", Number: 1, Runs: 1, Reached: true, Idempotent: true, Remaining: time.Second,
		Outcome: fleet.Outcome{Executed: fleet.ExecutedUnknown, Reason: fleet.ReasonStopped}}
	for range 4 {
		is.True(r.Decide(stopped).Retry)
	}
	is.Equal(r.Remaining("ledger"), -2.0)
	broken := stopped
	broken.Outcome.Reason = fleet.ReasonBroken
	is.True(!r.Decide(broken).Retry)
	once := stopped
	once.Idempotent = false
	is.True(!r.Decide(once).Retry)
	clock.Advance(12 * time.Second)
	is.True(r.Decide(broken).Retry)
}
