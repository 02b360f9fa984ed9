package retrier_test

import (
	"testing"
	"time"

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
