package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/retrier"
)

// lossResults are the results of attempts that another one may follow.
var lossResults = map[string]func(owner fleet.NodeID) *result{
	"silent": func(owner fleet.NodeID) *result {
		r := unknown(fleet.ReasonStalled, "no sign of life")
		r.lost, r.successor = &lostOwner{id: owner, silent: true}, &successor{}
		return r
	},
	"dead": func(owner fleet.NodeID) *result {
		r := unknown(fleet.ReasonBroken, "the connection ended")
		r.lost = &lostOwner{id: owner}
		return r
	},
	"stops, slot reserved": func(fleet.NodeID) *result {
		r := unknown(fleet.ReasonStopped, "the node stops")
		r.successor = &successor{}
		return r
	},
	"stops":  func(fleet.NodeID) *result { return unknown(fleet.ReasonStopped, "the node stops") },
	"full":   func(fleet.NodeID) *result { return fullResult(false) },
	"failed": func(fleet.NodeID) *result { return refused(fleet.ReasonFailing, "suspected failing") },
}

// TestNoAttemptFollowsTwoLostOwners guards against a request that is sent to a third owner behind two lost ones, in any order of results
// and of silent owners that are declared dead, and against one that is not sent to its reserved slot although one owner at most is lost.
func TestNoAttemptFollowsTwoLostOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &fakeFleet{suspects: make(map[fleet.NodeID]bool)}
		clock := clockwork.NewFakeClock()
		f := New("ingress", e, e, e, WithClock(clock), WithRetrier(retrier.New(retrier.WithAttempts(100), retrier.WithBudget(0, 100), retrier.WithBase(0))))
		s := &submission{service: "ledger", idempotent: true, deadline: clock.Now().Add(time.Minute), stage: &stage{work: f.work}}
		state := &attemptState{}
		for number := 1; number <= 6; number++ {
			owner := fleet.NodeID(fmt.Sprint("n", number))
			name := rapid.SampledFrom([]string{"silent", "dead", "stops, slot reserved", "stops", "full", "failed"}).Draw(t, "result")
			last := lossResults[name](owner)
			s.recordAttempt(e, last)
			state.recordAttempt(fleet.Backend{ID: fleet.BackendID(owner)}, last)
			for _, lost := range s.lost {
				e.suspects[lost.id] = e.suspects[lost.id] || rapid.Bool().Draw(t, "declared")
			}
			goesOn, lost := f.mayGoOn(t.Context(), s, state, number, last), s.lostCount(e)
			switch {
			case goesOn && lost >= maxLostOwners:
				t.Fatalf("an attempt follows one that ended as %q, with %d owners lost", name, lost)
			case !goesOn && lost < maxLostOwners && last.successor != nil:
				t.Fatalf("the reserved slot is not used with %d owners lost", lost)
			case !goesOn && lost >= maxLostOwners && last.outcome.Reason != fleet.ReasonOwnersLost:
				t.Fatalf("%d owners are lost, and the reason is %s", lost, last.outcome.Reason)
			case !goesOn:
				return
			}
		}
	})
}
