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
		is.True(a.Avoided("n1"))
		clock.Advance(length*time.Millisecond - 1)
		is.True(a.Avoided("n1"))
		clock.Advance(1)
		is.True(!a.Avoided("n1"))
	}
	a.Failed("n1")
	a.Reached("n1")
	is.True(!a.Avoided("n1"))
	a.Failed("n1")
	clock.Advance(500 * time.Millisecond)
	is.True(!a.Avoided("n1")) // an answer starts anew
}

func TestAmongNamesBackendServersOfAvoidedNodes(t *testing.T) {
	is := is.New(t)
	a := avoider.New(clockwork.NewFakeClock())
	backends := []fleet.Backend{{ID: "b1", Owner: "n1"}, {ID: "b2", Owner: "n2"}, {ID: "b3", Owner: "n1"}}
	is.Equal(len(a.Among(backends)), 0)
	a.Failed("n1")
	is.Equal(a.Among(backends), []fleet.BackendID{"b1", "b3"})
}

func TestOldFailuresAreForgotten(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a := avoider.New(clock)
	a.Failed("n1")
	clock.Advance(time.Minute)
	a.Failed("n1")
	clock.Advance(500 * time.Millisecond)
	is.True(!a.Avoided("n1"))
}
