package breaker_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/breaker"
	"cowsliptally.example/cowsliptally/fleet"
)

// TestBackoffDoublesUntilNodeAnswers lets the node fail each time it is tried again.
func TestBackoffDoublesUntilNodeAnswers(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := breaker.New(clock)
	for _, want := range []time.Duration{500, 1000, 1000} {
		backoff, started := b.RecordUnreachable("n1")
		is.True(started)
		is.Equal(backoff, want*time.Millisecond)
		clock.Advance(backoff - 1)
		_, started = b.RecordUnreachable("n1")
		is.True(!started) // counts once
		clock.Advance(1)
		is.Equal(b.UnreachableCount(), 1) // unreachable after the backoff too, until it answers
	}
	is.True(b.RecordReachable("n1"))
	is.True(!b.RecordReachable("n1"))
	is.Equal(b.UnreachableCount(), 0)
	backoff, started := b.RecordUnreachable("n1") // an answer resets the backoff
	is.True(started)
	is.Equal(backoff, 500*time.Millisecond)
}

func TestAmongReturnsUnreachableAndFailing(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := breaker.New(clock)
	backends := []fleet.Backend{{ID: "b1", Owner: "n1"}, {ID: "b2", Owner: "n2"}, {ID: "b3", Owner: "n1"}}
	unreachable, failing := b.Unavailable(backends)
	is.Equal(len(unreachable)+len(failing), 0)
	b.RecordUnreachable("n1")
	b.RecordFailing("b2")
	unreachable, failing = b.Unavailable(backends)
	is.Equal(unreachable, []fleet.BackendID{"b1", "b3"})
	is.Equal(failing, []fleet.BackendID{"b2"})
	clock.Advance(time.Second)
	b.RecordFailing("b1")
	_, failing = b.Unavailable(backends)
	is.Equal(failing, []fleet.BackendID{"b1"})
}

// TestNodeStopsUntilTheEndThatItTold guards against a node that counts as stopping for good, or never.
func TestNodeStopsUntilTheEndThatItTold(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := breaker.New(clock)
	is.True(!b.IsStopping("n1"))
	b.RecordEnd("n1", clock.Now().Add(time.Second))
	is.True(b.IsStopping("n1"))
	is.True(!b.IsStopping("n2"))
	clock.Advance(time.Second)
	is.True(!b.IsStopping("n1"))
}

// TestLeavingBackendServersAreTriedAgainSoon guards against backend servers that get nothing while
// their node stops because one refusal is remembered for too long, or for all requests.
func TestLeavingBackendServersAreTriedAgainSoon(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := breaker.New(clock)
	backends := []fleet.Backend{{ID: "b1"}, {ID: "b2"}}
	is.Equal(b.Leaving(backends, false), nil)
	b.RecordLeaving("b1", false)
	is.Equal(b.Leaving(backends, false), []fleet.BackendID{"b1"})
	is.Equal(b.Leaving(backends, true), nil) // it may still take these
	clock.Advance(300 * time.Millisecond)
	is.Equal(b.Leaving(backends, false), nil)
}
