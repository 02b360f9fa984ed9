package retrier_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/retrier"
)

// stepping is a clock whose time of day jumps while its steady time goes on.
type stepping struct {
	*clockwork.FakeClock
	step time.Duration
}

// Now returns the time of day.
func (s *stepping) Now() time.Time { return s.FakeClock.Now().Add(s.step) }

// Since returns the steady time that passed since a time of day before any step.
func (s *stepping) Since(t time.Time) time.Duration { return s.FakeClock.Now().Sub(t) }

// TestClockStepsDoNotRefillTheWindow spends the budget and steps the clock both ways.
func TestClockStepsDoNotRefillTheWindow(t *testing.T) {
	is := is.New(t)
	clock := &stepping{FakeClock: clockwork.NewFakeClock()}
	allowance := retrier.Allowance{PerRequest: 0.5, Slack: 2, Window: 10 * time.Second, Reached: 1}
	r := retrier.New(retrier.WithClock(clock), retrier.WithAllowance(func() retrier.Allowance { return allowance }),
		retrier.WithRandom(func() float64 { return 0 }))
	spend := func() (spent int) {
		for {
			decision := r.Decide(retrier.Attempt{
				Service: "ledger", Number: 1, Reached: true, Remaining: time.Minute,
				Outcome: fleet.Outcome{Executed: fleet.ExecutedNo, Reason: fleet.ReasonBusy},
			})
			if !decision.Retry {
				return spent
			}
			spent++
		}
	}
	for range 4 {
		r.Begin("ledger")
	}
	is.Equal(spend(), 4)
	for _, step := range []time.Duration{3 * time.Second, -3 * time.Second, time.Minute, -time.Hour} {
		clock.step = step
		is.Equal(spend(), 0)
	}
	clock.step = 0
	clock.Advance(11 * time.Second)
	is.Equal(spend(), 2) // the slack of a new window
}
