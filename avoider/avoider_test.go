package avoider_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/avoider"
	"cowsliptally.example/cowsliptally/fleet"
)

func TestHoldsDoubleAndEnd(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a := avoider.New(clock)
	for _, length := range []time.Duration{500, 1000, 2000, 4000, 4000} {
		a.Failed("n1")
		a.Failed("n1") // counts once
		is.Equal(a.Count(), 1)
		clock.Advance(length*time.Millisecond - 1)
		is.Equal(a.Count(), 1)
		clock.Advance(1)
		is.Equal(a.Count(), 0)
	}
	a.Failed("n1")
	a.Reached("n1")
	is.Equal(a.Count(), 0)
	a.Failed("n1")
	clock.Advance(500 * time.Millisecond)
	is.Equal(a.Count(), 0) // an answer starts anew
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

func TestOldFailuresAreForgotten(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a := avoider.New(clock)
	a.Failed("n1")
	clock.Advance(time.Minute)
	a.Failed("n1")
	clock.Advance(500 * time.Millisecond)
	is.Equal(a.Count(), 0)
}
