package forwarder

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/fleet"
)

// fakeFleet is a directory and picker of some backend servers, each with its owner.
type fakeFleet struct {
	noop
	backends []fleet.Backend
	suspects map[fleet.NodeID]bool
	random   func(int) int
}

func (e *fakeFleet) Configuration() fleet.Configuration         { return fleet.Configuration{} }
func (e *fakeFleet) Ready() bool                                { return true }
func (e *fakeFleet) Backends(fleet.ServiceName) []fleet.Backend { return e.backends }
func (e *fakeFleet) Members() []fleet.Member                    { return nil }
func (e *fakeFleet) Begin(fleet.BackendID)                      {}
func (e *fakeFleet) End(fleet.BackendID)                        {}
func (e *fakeFleet) Fail(fleet.BackendID)                       {}
func (e *fakeFleet) Report(fleet.Load)                          {}
func (e *fakeFleet) Limit(fleet.BackendID) string               { return "" }
func (e *fakeFleet) Member(id fleet.NodeID) (fleet.Member, bool) {
	state := fleet.MemberAlive
	if e.suspects[id] {
		state = fleet.MemberSuspect
	}
	return fleet.Member{ID: id, State: state}, true
}

func (e *fakeFleet) Pick(_ fleet.ServiceName, candidates []fleet.Backend, excluded []fleet.BackendID, _ bool) (fleet.Backend, bool) {
	var left []fleet.Backend
	for _, b := range candidates {
		if !slices.Contains(excluded, b.ID) {
			left = append(left, b)
		}
	}
	if len(left) == 0 {
		return fleet.Backend{}, false
	}
	return left[e.random(len(left))], true
}

// TestSelectsEachBackendServerOnce has backend servers suspected failing, paths fail and
// nodes become suspect in any combination, up to all of them. A request must still find a
// backend server until it was sent to each, and is sent to none twice.
func TestSelectsEachBackendServerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		e := &fakeFleet{suspects: make(map[fleet.NodeID]bool), random: func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "picked") }}
		for i := range rapid.IntRange(1, 6).Draw(t, "backends") {
			e.backends = append(e.backends, fleet.Backend{
				ID: fleet.BackendID(fmt.Sprint("b", i)), Owner: fleet.NodeID(fmt.Sprint("n", i)), State: fleet.BackendReady,
			})
		}
		f := New("ingress", e, e, e, WithClock(clock), WithNoWaitAttempts(3))
		draw := func() fleet.Backend { return rapid.SampledFrom(e.backends).Draw(t, "backend") }
		for range rapid.IntRange(0, 12).Draw(t, "troubles") {
			switch rapid.IntRange(0, 4).Draw(t, "trouble") {
			case 0:
				f.breaker.RecordFailing(draw().ID)
			case 1:
				f.breaker.RecordUnreachable(draw().Owner)
			case 2:
				f.breaker.RecordReachable(draw().Owner)
			case 3:
				e.suspects[draw().Owner] = rapid.Bool().Draw(t, "suspect")
			case 4:
				clock.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		s := &submission{service: "ledger", content: &collector.Content{}}
		state := &attemptState{candidates: e.backends}
		for range 4 * len(e.backends) {
			backend, mode, found := f.selectBackend(s, state)
			if !found {
				break
			}
			if slices.Contains(state.tried, backend.ID) {
				t.Fatalf("%s is selected again", backend.ID)
			}
			outcomes := []*result{
				{outcome: fleet.Outcome{Executed: fleet.ExecutedUnknown, Reason: fleet.ReasonBroken}},
				{outcome: fleet.Outcome{Executed: fleet.ExecutedNo, Reason: fleet.ReasonBusy}},
			}
			if mode == noWait {
				outcomes = append(outcomes, fullResult(false), fullResult(true))
			}
			if mode != forced {
				outcomes = append(outcomes, refused(fleet.ReasonFailing, ""))
			}
			state.recordAttempt(backend, rapid.SampledFrom(outcomes).Draw(t, "outcome"))
		}
		if len(state.tried) != len(e.backends) {
			t.Fatalf("only %v of %d backend servers were tried", state.tried, len(e.backends))
		}
	})
}

// fullResult is the refusal of a no-wait attempt by an owner without a free slot.
func fullResult(ends bool) *result {
	return &result{noWaitRefused: true, ownerEndsFirst: ends, outcome: fleet.Outcome{Executed: fleet.ExecutedNo, Reason: fleet.ReasonBusy}}
}

// newSelection returns a submission whose first no-wait attempt was refused by an owner whose node stops, and the next
// three by owners that run on without a free slot.
func newSelection(t *rapid.T) (*Forwarder, *submission, *attemptState) {
	e := &fakeFleet{random: func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "picked") }}
	for i := range 8 {
		e.backends = append(e.backends, fleet.Backend{
			ID: fleet.BackendID(fmt.Sprint("b", i)), Owner: fleet.NodeID(fmt.Sprint("n", i)), State: fleet.BackendReady,
		})
	}
	f := New("ingress", e, e, e, WithClock(clockwork.NewFakeClock()), WithNoWaitAttempts(3))
	s := &submission{service: "ledger", content: &collector.Content{}, idempotent: true}
	state := &attemptState{candidates: e.backends}
	for number := range 4 {
		backend, mode, _ := f.selectBackend(s, state)
		if mode != noWait {
			t.Fatalf("attempt %d is made in mode %v", number+1, mode)
		}
		state.recordAttempt(backend, fullResult(number == 0))
	}
	return f, s, state
}

// TestWaitsForASlotWhereTheNodeIsKnownToRunOn guards against a request that waits at an owner that it has not asked, which
// stops and cuts its run, while an owner that was full runs on.
func TestWaitsForASlotWhereTheNodeIsKnownToRunOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, s, state := newSelection(t)
		backend, mode, _ := f.selectBackend(s, state)
		if mode != queued || !slices.Contains(state.full, backend.ID) {
			t.Fatalf("waits at %s, in mode %v, while %v have no slot", backend.ID, mode, state.full)
		}
	})
}

// TestRequestWaitsOnceWhereItWasRefused guards against a request that ends because two full owners are too slow for it,
// while one that was not asked has a slot.
func TestRequestWaitsOnceWhereItWasRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, s, state := newSelection(t)
		backend, _, _ := f.selectBackend(s, state)
		state.recordAttempt(backend, refused(fleet.ReasonDeadline, ""))
		excluded := f.selections(s, state)[0].excluded
		for _, candidate := range state.candidates {
			if !slices.Contains(excluded, candidate.ID) && !slices.Contains(state.full, candidate.ID) {
				return
			}
		}
		t.Fatalf("of those that were not asked, none is considered beside %v", state.full)
	})
}

// TestOwnersAreAskedAfreshAfterAPlannedEnd guards against a request that waits at an owner because others were full
// seconds ago, before its run.
func TestOwnersAreAskedAfreshAfterAPlannedEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, s, state := newSelection(t)
		declined, last := state.declined(), state.full[0]
		state.recordAttempt(fleet.Backend{ID: last}, unknown(fleet.ReasonStopped, "the node stops"))
		if _, mode, _ := f.selectBackend(s, state); mode != noWait {
			t.Fatalf("the next attempt is made in mode %v", mode)
		}
		if state.declined() != declined {
			t.Fatalf("%d attempts do not count, %d did not before", state.declined(), declined)
		}
	})
}
