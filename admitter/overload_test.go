package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/fleet"
)

// goodputs returns the value answered per second at 1, 2 and 5 times the capacity.
func goodputs(seed uint64, build func() policy) (one, two, five float64) {
	measure := func(load float64) float64 {
		return simulate(build(), seed, oneOfTen, seconds(load, 6)...).mean(1, 6)
	}
	return measure(1), measure(2), measure(5)
}

func newAdmitter() policy { return admitter.New(slots) }

func TestGoodputUnderOverload(t *testing.T) {
	for seed := range uint64(2) {
		one, two, five := goodputs(seed, newAdmitter)
		baseOne, baseTwo, baseFive := goodputs(seed, func() policy { return &fifo{} })
		t.Logf("seed %d: 1x %.0f, 2x %.0f, 5x %.0f; first come first served: %.0f, %.0f, %.0f",
			seed, one, two, five, baseOne, baseTwo, baseFive)
		peak := max(one, two, five)
		if two < 0.9*one || five < 0.9*one {
			t.Errorf("goodput at 2x or 5x is under 90%% of 1x")
		}
		if five < 0.9*peak {
			t.Errorf("goodput at 5x is %.0f, under 90%% of the peak %.0f", five, peak)
		}
	}
}

func TestGoodputRecoversWithinSeconds(t *testing.T) {
	loads := slices.Concat(seconds(0.8, 6), seconds(5, 4), seconds(0.8, 6))
	for seed := range uint64(2) {
		s := simulate(newAdmitter(), seed, oneOfTen, loads...)
		base := simulate(&fifo{}, seed, oneOfTen, loads...)
		t.Logf("seed %d: before %.0f, 2 s after %.0f; first come first served: %.0f, %.0f",
			seed, s.mean(1, 6), s.mean(12, 16), base.mean(1, 6), base.mean(12, 16))
		if s.mean(12, 16) < 0.9*s.mean(1, 6) {
			t.Errorf("goodput did not recover 2 s after the load fell")
		}
	}
}

// TestOneOrganisationCannotStarveOthers sends four times the capacity for one organisation
// and a tenth of it for 490,000 others, most of which send one request.
func TestOneOrganisationCannotStarveOthers(t *testing.T) {
	const others = 490_000
	organisation := func(r *rand.Rand) fleet.Organisation {
		if r.Float64() < 4.0/4.1 {
			return "greedy"
		}
		return fleet.Organisation(fmt.Sprint(r.IntN(others)))
	}
	share := func(p policy) float64 {
		s := simulate(p, 1, organisation, seconds(4.1, 8)...)
		sent, served := 0, 0
		for name := range s.sent {
			if name != "greedy" {
				sent += s.sent[name]
				served += s.served[name]
			}
		}
		return float64(served) / float64(sent)
	}
	got, base := share(newAdmitter()), share(&fifo{})
	t.Logf("answered requests of others: %.3f; first come first served: %.3f", got, base)
	if got < 0.9 {
		t.Errorf("only %.3f of the other organisations' requests were answered", got)
	}
}
