package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/limiter"
)

func TestEnforcesRateAndBurst(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := limiter.New(clock)
	limit := fleet.Limit{Organisation: "haneul", RequestsPerSecond: 10, Burst: 5}
	count := func() (allowed int) {
		for range 100 {
			if l.Allow(limit) {
				allowed++
			}
		}
		return allowed
	}
	is.Equal(count(), 5)
	clock.Advance(300 * time.Millisecond)
	is.Equal(count(), 3)
	clock.Advance(time.Hour)
	is.Equal(count(), 5)
	is.True(!l.Allow(fleet.Limit{Organisation: "nobody"}))
}

// TestManyOrganisationsInFixedMemory sends one request for each of 490,000
// organisations, ten a millisecond, while another one is over its limit: only that one is
// limited.
func TestManyOrganisationsInFixedMemory(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := limiter.New(clock)
	refused, greedy := 0, 0
	for i := range 490_000 {
		if !l.Allow(fleet.Limit{Organisation: fleet.Organisation(fmt.Sprint(i)), RequestsPerSecond: 10, Burst: 1}) {
			refused++
		}
		if l.Allow(fleet.Limit{Organisation: "greedy", RequestsPerSecond: 10, Burst: 1}) {
			greedy++
		}
		if i%10 == 9 {
			clock.Advance(time.Millisecond)
		}
	}
	is.Equal(refused, 0)
	is.Equal(greedy, 490)
}
