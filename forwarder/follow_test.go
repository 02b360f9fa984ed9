package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/retrier"
)

// TestMoveFromAQueueIsChargedOnceForWhatRan guards against a retry that no budget pays for, since the owner that was to charge it
// is left before it has, and against a charge for a move of a request that has not run.
func TestMoveFromAQueueIsChargedOnceForWhatRan(t *testing.T) {
	for name, tc := range map[string]struct {
		executed fleet.Executed
		owed     float64
		charged  bool
	}{
		"has not run":             {executed: fleet.ExecutedNo},
		"may have run":            {executed: fleet.ExecutedUnknown, charged: true},
		"another attempt has run": {executed: fleet.ExecutedNo, owed: 1, charged: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := retrier.New()
			f := New("ingress", nil, nil, nil, WithRetrier(budget))
			s := &submission{service: "ledger", idempotent: true, retryCost: tc.owed, deadline: f.clock.Now().Add(time.Minute)}
			last := unknown(fleet.ReasonStopped, "the node stops")
			last.outcome.Executed = tc.executed
			failed := (&succession{submission: *s, number: 2, counted: 1, started: f.clock.Now()}).failed(f.clock.Now(), fleet.ReasonStopped)
			last.successor = &successor{uncharged: &failed}
			left := budget.Remaining("ledger")
			is.True(f.follow(t.Context(), s, 1, last))
			is.Equal(budget.Remaining("ledger") < left, tc.charged)
			is.Equal(s.retryCost, 0.0)
		})
	}
}

// TestRequestThatLeftAQueueIsSearchedFor guards against a request that is given up at the first refusal after it left its place in a
// queue for a slot that has lapsed.
func TestRequestThatLeftAQueueIsSearchedFor(t *testing.T) {
	is := is.New(t)
	state := &attemptState{}
	moved := refused(fleet.ReasonStopped, "superseded")
	moved.successor = &successor{backend: fleet.Backend{ID: "b"}}
	state.recordAttempt(fleet.Backend{ID: "a"}, moved)
	is.Equal(state.ran, 0)
	lapsed := refused(fleet.ReasonBusy, "no slot is free")
	state.recordAttempt(fleet.Backend{ID: "b"}, lapsed)
	is.True(state.isRefusedInSearch(lapsed))
}
