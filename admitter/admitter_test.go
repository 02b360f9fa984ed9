package admitter_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/fleet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	fmt.Println("rapid seed 7")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.steps", "80")
	_ = flag.Set("rapid.shrinktime", "1s")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// gate follows the decisions of an admitter with plain maps.
type gate struct {
	admitter *admitter.Admitter
	now      time.Time
	last     admitter.ID
	closed   bool
	running  map[admitter.ID]bool
	waiting  map[admitter.ID]admitter.Request
}

func (g *gate) follow(t *rapid.T, decisions []admitter.Decision) {
	for _, d := range decisions {
		r, waited := g.waiting[d.ID]
		switch d.Action {
		case admitter.Run:
			if !waited || !g.now.Before(r.Deadline) {
				t.Fatalf("request %d was run though it did not wait or its time is over", d.ID)
			}
			g.running[d.ID] = true
			delete(g.waiting, d.ID)
		case admitter.Refuse:
			if g.running[d.ID] || d.Reason == "" {
				t.Fatalf("request %d was refused with reason %q, running: %v", d.ID, d.Reason, g.running[d.ID])
			}
			delete(g.waiting, d.ID)
		}
	}
}

// TestEachRequestGetsOneFate checks slots, queue and fates against plain maps.
func TestEachRequestGetsOneFate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, queue = 3, 5
		g := &gate{
			admitter: admitter.New(slots, admitter.WithQueue(queue)), now: time.Unix(0, 0),
			running: map[admitter.ID]bool{}, waiting: map[admitter.ID]admitter.Request{},
		}
		arrive := func(t *rapid.T) {
			g.last++
			r := admitter.Request{
				ID: g.last, Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
				Kind:         fleet.RequestKind(rapid.SampledFrom([]string{"read", "write"}).Draw(t, "kind")),
				Organisation: fleet.Organisation(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "organisation")),
				Deadline:     g.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "ms")) * time.Millisecond),
			}
			g.waiting[r.ID] = r
			g.follow(t, g.admitter.Arrive(r, g.now))
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive2": arrive,
			"done": func(t *rapid.T) {
				id := admitter.ID(rapid.Uint64Range(0, uint64(g.last)).Draw(t, "id"))
				ran := g.running[id]
				delete(g.running, id)
				if rapid.Bool().Draw(t, "whole") {
					g.follow(t, g.admitter.Done(id, "read", time.Duration(rapid.IntRange(1, 50).Draw(t, "ms"))*time.Millisecond, g.now))
				} else {
					g.follow(t, g.admitter.Abandon(id, g.now))
				}
				if !ran && g.running[id] {
					t.Fatalf("request %d ran after it was over", id)
				}
			},
			"cancel": func(t *rapid.T) {
				id := admitter.ID(rapid.Uint64Range(0, uint64(g.last)).Draw(t, "id"))
				g.admitter.Cancel(id)
				delete(g.waiting, id)
			},
			"pass": func(t *rapid.T) {
				g.now = g.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
				g.follow(t, g.admitter.Tick(g.now))
			},
			"drain": func(t *rapid.T) {
				if g.closed = rapid.IntRange(0, 9).Draw(t, "rare") == 0; g.closed {
					g.follow(t, g.admitter.Close())
					return
				}
				g.admitter.Open()
			},
			"": func(t *rapid.T) {
				if g.admitter.Running() != len(g.running) || g.admitter.Waiting() != len(g.waiting) {
					t.Fatalf("admitter counts %d and %d, oracle %d and %d",
						g.admitter.Running(), g.admitter.Waiting(), len(g.running), len(g.waiting))
				}
				if len(g.running) > slots || len(g.waiting) > queue || g.closed && len(g.waiting) > 0 {
					t.Fatalf("%d run and %d wait", len(g.running), len(g.waiting))
				}
				if len(g.running) < slots && len(g.waiting) > 0 {
					t.Fatalf("%d wait while a slot is free", len(g.waiting))
				}
			},
		})
	})
}

func TestServesTheWorthiestFirst(t *testing.T) {
	a := admitter.New(1)
	now := time.Unix(0, 0)
	deadline := now.Add(time.Minute)
	a.Arrive(admitter.Request{ID: 1, Weight: 1, Deadline: deadline}, now)
	for i, weight := range []int{1, 2, 5} {
		a.Arrive(admitter.Request{ID: admitter.ID(2 + i), Weight: weight, Deadline: deadline}, now)
	}
	running := admitter.ID(1)
	for _, want := range []admitter.ID{4, 3, 2} {
		decisions := a.Abandon(running, now)
		if len(decisions) != 1 || decisions[0].ID != want {
			t.Fatalf("got %v, want request %d to run", decisions, want)
		}
		running = want
	}
}
