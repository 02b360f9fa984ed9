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

// model tracks the decisions of an admitter in plain maps.
type model struct {
	admitter *admitter.Admitter
	now      time.Time
	last     admitter.ID
	closed   bool
	running  map[admitter.ID]bool
	waiting  map[admitter.ID]admitter.Request
}

func (m *model) apply(t *rapid.T, decisions []admitter.Decision) {
	for _, d := range decisions {
		r, waited := m.waiting[d.ID]
		switch d.Action {
		case admitter.Run:
			if !waited || !m.now.Before(r.Deadline) {
				t.Fatalf("request %d was run though it was not queued or its deadline has passed", d.ID)
			}
			m.running[d.ID] = true
			delete(m.waiting, d.ID)
		case admitter.Refuse:
			if m.running[d.ID] || d.Reason == "" {
				t.Fatalf("request %d was refused with reason %q, running: %v", d.ID, d.Reason, m.running[d.ID])
			}
			delete(m.waiting, d.ID)
		}
	}
}

// TestEachRequestGetsOneResult checks slots, queue and results against plain maps.
func TestEachRequestGetsOneResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, queue = 3, 5
		m := &model{
			admitter: admitter.New(slots, admitter.WithQueue(queue)), now: time.Unix(0, 0),
			running: map[admitter.ID]bool{}, waiting: map[admitter.ID]admitter.Request{},
		}
		arrive := func(t *rapid.T) {
			m.last++
			r := admitter.Request{
				ID: m.last, Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
				Kind:         fleet.RequestKind(rapid.SampledFrom([]string{"read", "write"}).Draw(t, "kind")),
				Organisation: fleet.Organisation(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "organisation")),
				Deadline:     m.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "ms")) * time.Millisecond),
			}
			m.waiting[r.ID] = r
			m.apply(t, m.admitter.Arrive(r, m.now))
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive2": arrive,
			"done": func(t *rapid.T) {
				id := admitter.ID(rapid.Uint64Range(0, uint64(m.last)).Draw(t, "id"))
				ran := m.running[id]
				delete(m.running, id)
				if rapid.Bool().Draw(t, "whole") {
					m.apply(t, m.admitter.Done(id, "read", time.Duration(rapid.IntRange(1, 50).Draw(t, "ms"))*time.Millisecond, m.now))
				} else {
					m.apply(t, m.admitter.Abandon(id, m.now))
				}
				if !ran && m.running[id] {
					t.Fatalf("request %d ran after it was over", id)
				}
			},
			"cancel": func(t *rapid.T) {
				id := admitter.ID(rapid.Uint64Range(0, uint64(m.last)).Draw(t, "id"))
				m.admitter.Cancel(id)
				delete(m.waiting, id)
			},
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
				m.apply(t, m.admitter.Tick(m.now))
			},
			"drain": func(t *rapid.T) {
				if m.closed = rapid.IntRange(0, 9).Draw(t, "rare") == 0; m.closed {
					m.apply(t, m.admitter.Close())
					return
				}
				m.admitter.Open()
			},
			"": func(t *rapid.T) {
				if m.admitter.Running() != len(m.running) || m.admitter.Waiting() != len(m.waiting) {
					t.Fatalf("admitter counts %d running and %d queued, model %d and %d",
						m.admitter.Running(), m.admitter.Waiting(), len(m.running), len(m.waiting))
				}
				if len(m.running) > slots || len(m.waiting) > queue || m.closed && len(m.waiting) > 0 {
					t.Fatalf("%d running and %d queued", len(m.running), len(m.waiting))
				}
				if len(m.running) < slots && len(m.waiting) > 0 {
					t.Fatalf("%d queued while a slot is free", len(m.waiting))
				}
			},
		})
	})
}

func TestServesMostValuableFirst(t *testing.T) {
	a := admitter.New(1, admitter.WithQueue(4))
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
