package drainer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/drainer"
)

// allKinds are the kinds of work.
var allKinds = []drainer.Kind{drainer.Requests, drainer.Pipelined, drainer.LateRequests, drainer.Attempts, drainer.Offers, drainer.Closing}

// TestClosedKindsEndBeforeWaitReturns guards against a shutdown that goes on while work of a
// closed kind is in flight, and against one that waits for kinds that are still admitted.
func TestClosedKindsEndBeforeWaitReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drainer.New()
		closed := map[drainer.Kind]bool{}
		inFlight := map[drainer.Kind]int{}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			kind := rapid.SampledFrom(allKinds).Draw(t, "kind")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				if d.Enter(kind) == closed[kind] {
					t.Fatalf("%s was admitted: %t, closed: %t", kind, !closed[kind], closed[kind])
				}
				if !closed[kind] {
					inFlight[kind]++
				}
			case 2, 3:
				if inFlight[kind] > 0 {
					d.Leave(kind)
					inFlight[kind]--
				}
			case 4:
				d.Close(kind)
				closed[kind] = true
			}
			left := 0
			for _, kind := range allKinds {
				if closed[kind] {
					left += inFlight[kind]
				}
				if d.InFlight(kind) != inFlight[kind] || d.Closed(kind) != closed[kind] {
					t.Fatalf("%s: %d in flight, expected %d", kind, d.InFlight(kind), inFlight[kind])
				}
			}
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			if err := d.Wait(ended); (err != nil) != (left > 0) {
				t.Fatalf("wait with %d in flight: %v", left, err)
			}
			one := rapid.SampledFrom(allKinds).Draw(t, "waited")
			if err := d.Wait(ended, one); (err != nil) != (closed[one] && inFlight[one] > 0) {
				t.Fatalf("wait for %s with %d in flight, closed: %t: %v", one, inFlight[one], closed[one], err)
			}
		}
	})
}

// TestWaitReturnsWithTheLastWork ends work of two kinds one after the other while Wait waits.
func TestWaitReturnsWithTheLastWork(t *testing.T) {
	is := is.New(t)
	d := drainer.New()
	is.True(d.Enter(drainer.Requests))
	is.True(d.Enter(drainer.Pipelined))
	d.Close(drainer.Requests, drainer.Pipelined)
	done := make(chan error, 1)
	go func() { done <- d.Wait(context.Background()) }()
	d.Leave(drainer.Requests)
	select {
	case err := <-done:
		t.Fatalf("wait returned %v with a pipelined request in flight", err)
	case <-time.After(20 * time.Millisecond):
	}
	d.Leave(drainer.Pipelined)
	is.NoErr(<-done)
}
