package retrier_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/retrier"
)

// TestAllowsAgreesWithDecide guards against attempts that are called the last although a retry
// follows, or not although none does, against a question that uses up the budget, and against a
// retry that is quoted to another payer than the one that is charged.
func TestAllowsAgreesWithDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := []retrier.Option{
			retrier.WithBudget(0, float64(rapid.IntRange(0, 3).Draw(t, "budget"))),
			retrier.WithRandom(func() float64 { return 0 }),
		}
		if rapid.Bool().Draw(t, "ownerCharge") {
			options = append(options, retrier.WithOwnerCharge())
		}
		r := retrier.New(options...)
		for range rapid.IntRange(1, 6).Draw(t, "attempts") {
			a := retrier.Attempt{
				Service:    "ledger",
				Number:     rapid.IntRange(1, 4).Draw(t, "number"),
				Runs:       rapid.IntRange(0, 3).Draw(t, "runs"),
				MaxRuns:    rapid.IntRange(0, 3).Draw(t, "maxRuns"),
				Outcome:    fleet.Outcome{Executed: fleet.ExecutedUnknown, Reason: fleet.ReasonStalled},
				Charged:    rapid.Bool().Draw(t, "charged"),
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Remaining:  time.Duration(rapid.IntRange(-1, 1).Draw(t, "remaining")) * time.Second,
			}
			before := r.Remaining("ledger")
			allowed := r.Allows(a)
			ownerCost, quoted := r.Quote(a)
			if r.Remaining("ledger") != before {
				t.Fatal("the question charged the budget")
			}
			decision := r.Decide(a)
			if a.Charged && (r.Remaining("ledger") != before || decision.RetryCost > 0) {
				t.Fatalf("%+v: charged again", a)
			}
			if decision.Retry != allowed || quoted != allowed {
				t.Fatalf("%+v: allowed %t, quoted %t, decided %t", a, allowed, quoted, decision.Retry)
			}
			if allowed && decision.RetryCost != ownerCost {
				t.Fatalf("%+v: quoted %.1f for the owner, decided %.1f", a, ownerCost, decision.RetryCost)
			}
		}
	})
}
