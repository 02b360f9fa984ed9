package quarantiner_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/quarantiner"
)

const (
	crashing = "deadly"
	// maxDuration bounds a run, as ingresses do for trial requests.
	maxDuration = quarantiner.TrialDuration - 5*time.Second
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	fmt.Println("rapid seed 7")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.shrinktime", "1s")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// run is a request in a slot.
type run struct {
	identity string
	backend  fleet.BackendID
	start    time.Time
}

// testFleet is a fleet whose nodes report every crash to each other.
type testFleet struct {
	clock   *clockwork.FakeClock
	nodes   map[fleet.NodeID]*quarantiner.Quarantiner
	slots   []run
	crashes int
	// shared counts the crashes of each harmless request since it last ran to its end.
	shared map[string]int
}

// submit sends a request through a node, subject to the status in its quarantiner.
func (w *testFleet) submit(t *rapid.T, identity string) {
	node := rapid.SampledFrom([]fleet.NodeID{"a", "b", "c"}).Draw(t, "node")
	status, crash := w.nodes[node].Status(identity)
	switch status {
	case quarantiner.Poison:
		if identity != crashing && w.shared[identity] < 2 {
			t.Fatalf("%s is poison after %d crashes", identity, w.shared[identity])
		}
		return
	case quarantiner.Suspect:
		if !w.nodes[crash.Reporter].PermitTrial(crash.Reporter, identity) {
			return
		}
	case quarantiner.Clean:
		if identity == crashing && slices.ContainsFunc(w.slots, func(r run) bool { return r.identity == crashing }) {
			return // its caller sends it again only after an answer
		}
	}
	backend := fleet.BackendID(fmt.Sprint(w.crashes, "-", rapid.IntRange(0, 3).Draw(t, "backend")))
	w.slots = append(w.slots, run{identity, backend, w.clock.Now()})
}

// end ends a run; the crashing request crashes its backend server.
func (w *testFleet) end(t *rapid.T) {
	if len(w.slots) == 0 {
		t.Skip("nothing runs")
	}
	ended := rapid.SampledFrom(w.slots).Draw(t, "run")
	if ended.identity != crashing {
		w.slots = slices.DeleteFunc(w.slots, func(r run) bool { return r == ended })
		w.shared[ended.identity] = 0
		for _, q := range w.nodes {
			q.Clear(ended.identity)
		}
		return
	}
	w.crashes++
	var identities []string
	w.slots = slices.DeleteFunc(w.slots, func(r run) bool {
		if r.backend != ended.backend {
			return false
		}
		if !slices.Contains(identities, r.identity) {
			identities = append(identities, r.identity)
			w.shared[r.identity]++
		}
		return true
	})
	reporter := rapid.SampledFrom([]fleet.NodeID{"a", "b", "c"}).Draw(t, "reporter")
	for _, q := range w.nodes {
		q.RecordCrash(reporter, ended.backend, identities)
	}
	if w.crashes > 2 {
		t.Fatalf("one request crashed %d backend servers", w.crashes)
	}
}

// TestAtMostTwoCrashesAndNoHarmlessRequestRefused repeatedly sends one crashing request
// and harmless ones through three nodes, also concurrently once it is suspect.
func TestAtMostTwoCrashesAndNoHarmlessRequestRefused(t *testing.T) {
	second := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &testFleet{clock: clockwork.NewFakeClock(), nodes: map[fleet.NodeID]*quarantiner.Quarantiner{}, shared: map[string]int{}}
		for _, node := range []fleet.NodeID{"a", "b", "c"} {
			w.nodes[node] = quarantiner.New(w.clock)
		}
		t.Repeat(map[string]func(*rapid.T){
			"deadly":    func(t *rapid.T) { w.submit(t, crashing) },
			"deadly2":   func(t *rapid.T) { w.submit(t, crashing) },
			"innocent":  func(t *rapid.T) { w.submit(t, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "identity")) },
			"innocent2": func(t *rapid.T) { w.submit(t, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "identity")) },
			"end":       w.end,
			"pass": func(t *rapid.T) {
				w.clock.Advance(time.Duration(rapid.IntRange(1, 5).Draw(t, "s")) * time.Second)
				w.slots = slices.DeleteFunc(w.slots, func(r run) bool { return w.clock.Since(r.start) >= maxDuration })
			},
		})
		if w.crashes == 2 {
			second++
		}
	})
	if second < 100 {
		t.Fatalf("only %d runs had a second crash", second)
	}
}

func TestStatusExpires(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := quarantiner.New(clock, quarantiner.WithCapacity(2))
	q.RecordCrash("node", "one", []string{crashing})
	q.RecordCrash("node", "one", []string{crashing})
	if status, _ := q.Status(crashing); status != quarantiner.Suspect {
		t.Fatal("the same crash was counted twice")
	}
	q.RecordCrash("node", "two", []string{crashing})
	if status, _ := q.Status(crashing); status != quarantiner.Poison {
		t.Fatal("two crashes did not make the identity poison")
	}
	clock.Advance(quarantiner.DefaultDuration)
	if status, _ := q.Status(crashing); status != quarantiner.Clean {
		t.Fatal("the poison status did not expire")
	}
	q.RecordCrash("node", "three", []string{"x", "y", "z"})
	if q.Len() != 2 {
		t.Fatal("the number of remembered identities is not bounded")
	}
}
