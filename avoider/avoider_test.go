package avoider_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/avoider"
	"cowsliptally.example/cowsliptally/fleet"
)

// TestHoldsDoubleUntilTheNodeAnswers fails each time the node is asked again.
func TestHoldsDoubleUntilTheNodeAnswers(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a := avoider.New(clock)
	for _, length := range []time.Duration{500, 1000, 1000} {
		hold, begun := a.Failed("n1")
		is.True(begun)
		is.Equal(hold, length*time.Millisecond)
		clock.Advance(hold - 1)
		_, begun = a.Failed("n1")
		is.True(!begun) // counts once
		clock.Advance(1)
		is.Equal(a.Count(), 1) // no request finds out whether it is back
	}
	is.True(a.Reached("n1"))
	is.True(!a.Reached("n1"))
	is.Equal(a.Count(), 0)
	hold, begun := a.Failed("n1") // an answer starts anew
	is.True(begun)
	is.Equal(hold, 500*time.Millisecond)
}

func TestAmongNamesBackendServersOfAvoidedNodes(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a := avoider.New(clock)
	backends := []fleet.Backend{{ID: "b1", Owner: "n1"}, {ID: "b2", Owner: "n2"}, {ID: "b3", Owner: "n1"}}
	avoided, doubted := a.Among(backends)
	is.Equal(len(avoided)+len(doubted), 0)
	a.Failed("n1")
	a.Doubted("b2")
	avoided, doubted = a.Among(backends)
	is.Equal(avoided, []fleet.BackendID{"b1", "b3"})
	is.Equal(doubted, []fleet.BackendID{"b2"})
	clock.Advance(time.Second)
	a.Doubted("b1")
	_, doubted = a.Among(backends)
	is.Equal(doubted, []fleet.BackendID{"b1"})
}
