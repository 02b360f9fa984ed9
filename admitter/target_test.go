package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/admitter"
)

// TestTargetsAreMetUnderLastingOverload offers 4 slots one and a half times their
// capacity. Callers have a target of 800 ms and a deadline of 4 s. More answers must be in
// time than when the requests carry no target.
func TestTargetsAreMetUnderLastingOverload(t *testing.T) {
	is := is.New(t)
	with := overload(800 * time.Millisecond)
	without := overload(0)
	t.Logf("in time, of 1,800: %d with targets, %d without", with, without)
	is.True(with > without*3/2)
	is.True(with > 900) // the capacity is 1,200
}

// overload returns how many of 1,800 requests in 60 s were answered within 800 ms.
func overload(target time.Duration) (inTime int) {
	a := admitter.New(4, admitter.WithQueue(32))
	start := time.Unix(1000, 0)
	const took = 200 * time.Millisecond
	type end struct {
		id admitter.ID
		at time.Time
	}
	var running []end
	arrived := make(map[admitter.ID]time.Time)
	apply := func(decisions []admitter.Decision, now time.Time) {
		for _, d := range decisions {
			if d.Action != admitter.Run {
				continue
			}
			running = append(running, end{d.ID, now.Add(took)})
			if now.Add(took).Sub(arrived[d.ID]) <= 800*time.Millisecond {
				inTime++
			}
		}
	}
	for i := range 1800 {
		now := start.Add(time.Duration(i) * time.Second / 30)
		for len(running) > 0 && !running[0].at.After(now) {
			done := running[0]
			running = running[1:]
			apply(a.Done(done.id, "lookup", took, done.at), done.at)
		}
		r := admitter.Request{ID: admitter.ID(i), Kind: "lookup", Weight: 1, Deadline: now.Add(4 * time.Second)}
		if target > 0 {
			r.Target = now.Add(target)
		}
		arrived[r.ID] = now
		apply(a.Arrive(r, now), now)
	}
	return inTime
}
