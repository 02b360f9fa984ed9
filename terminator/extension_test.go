package terminator_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// settle lets a timer's goroutine run.
const settle = 20 * time.Millisecond

// TestWorkKeepsTheProcessUntilItIsKilled guards against a process that ends itself under work that it may
// still finish, and against one that goes on for anything else.
func TestWorkKeepsTheProcessUntilItIsKilled(t *testing.T) {
	for name, tc := range map[string]struct {
		grace, deadline, extended time.Duration
	}{
		"6 s":    {6 * time.Second, 5450 * time.Millisecond, 5900 * time.Millisecond},
		"2 s":    {2 * time.Second, 1450 * time.Millisecond, 1900 * time.Millisecond},
		"0.15 s": {150 * time.Millisecond, 75 * time.Millisecond, 75 * time.Millisecond},
	} {
		for _, work := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				terminator, clock, exits := newTerminator()
				terminator.SetGrace(tc.grace)
				terminator.ExtendWhile(func() bool { return work })
				terminator.Signal()
				last := tc.deadline
				if work {
					last = tc.extended
				}
				clock.Advance(tc.deadline - 1)
				time.Sleep(settle)
				is.Equal(len(exits), 0)
				clock.Advance(1)
				if last > tc.deadline {
					time.Sleep(settle)
					clock.Advance(last - tc.deadline - 1)
					time.Sleep(settle)
					is.Equal(len(exits), 0)
					clock.Advance(1)
				}
				is.Equal((<-exits).after, last)
			})
		}
	}
}

// TestChangedGracePeriodMovesBothDeadlines changes the grace period before the first deadline and
// between the two.
func TestChangedGracePeriodMovesBothDeadlines(t *testing.T) {
	is := is.New(t)
	terminator, clock, exits := newTerminator()
	var work atomic.Bool
	work.Store(true)
	terminator.ExtendWhile(work.Load)
	advance := func(d time.Duration) {
		clock.Advance(d)
		time.Sleep(settle)
	}
	terminator.Signal()
	terminator.SetGrace(8 * time.Second)
	advance(7450 * time.Millisecond)
	terminator.SetGrace(10 * time.Second)
	advance(2*time.Second - 1)
	is.Equal(len(exits), 0)
	advance(1)
	terminator.SetGrace(20 * time.Second)
	work.Store(false)
	advance(10*time.Second - 1)
	is.Equal(len(exits), 0)
	advance(1) // the first deadline again, now without work
	is.Equal((<-exits).after, 19450*time.Millisecond)
}
