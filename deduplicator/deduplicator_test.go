package deduplicator_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/deduplicator"
	"cowsliptally.example/cowsliptally/fleet"
)

// epoch is the time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0)

const (
	// window is how long grants are remembered; keys without a time stamp are not protected
	// for longer.
	window = time.Minute
	// maxDelay bounds the delay of a membership change at a node, in seconds.
	maxDelay = 5
	// maxError bounds the error of callers' clocks, in seconds.
	maxError = 5
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	fmt.Println("rapid seed 7")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.shrinktime", "1s")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// node is a process with its deduplicator.
type node struct {
	id           fleet.NodeID
	deduplicator *deduplicator.Deduplicator
	delay        int
	paused       bool
}

// grant is the current grant of a key.
type grant struct {
	node   *node
	holder string
	at     time.Time
}

// testFleet is a fleet whose nodes receive membership changes late, pause, crash and are
// replaced.
type testFleet struct {
	clock *clockwork.FakeClock
	nodes []*node
	// history holds the members of each second.
	history [][]fleet.NodeID
	started int
	keys    []string
	held    map[string]grant
	queries int
	granted int
}

func (w *testFleet) start(t *rapid.T) {
	w.started++
	id := fleet.NodeID(fmt.Sprint("node", w.started))
	w.nodes = append(w.nodes, &node{
		id: id, delay: rapid.IntRange(0, maxDelay).Draw(t, "delay"),
		deduplicator: deduplicator.New(id, w.clock, deduplicator.WithWindow(window), deduplicator.WithCapacity(2)),
	})
}

func (w *testFleet) tick() {
	w.clock.Advance(time.Second)
	var members []fleet.NodeID
	for _, n := range w.nodes {
		if !n.paused {
			members = append(members, n.id)
		}
	}
	w.history = append(w.history, members)
	for _, n := range w.nodes {
		if !n.paused {
			n.deduplicator.UpdateMembers(w.history[max(0, len(w.history)-1-n.delay)])
		}
	}
}

func (w *testFleet) newKey(t *rapid.T) string {
	n := rapid.SampledFrom(w.nodes).Draw(t, "issuer")
	switch rapid.IntRange(0, 3).Draw(t, "style") {
	case 0:
		return n.deduplicator.Issue()
	case 1:
		return fmt.Sprint("opaque", len(w.keys))
	default:
		id := uuid.UUID{}
		stamp := w.clock.Now().Add(time.Duration(rapid.IntRange(-maxError, maxError).Draw(t, "error")) * time.Second)
		binary.BigEndian.PutUint64(id[:8], uint64(stamp.UnixMilli())<<16)
		id[6], id[8], id[15] = 0x70, 0x80, byte(len(w.keys))
		return id.String()
	}
}

// request requests a key from the node that is responsible for it in the sender's view.
func (w *testFleet) request(t *rapid.T, sender *node, key string) {
	target := sender.deduplicator.ResponsibleNode(key)
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == target })
	if i < 0 || w.nodes[i].paused {
		return
	}
	w.queries++
	holder := fmt.Sprint("holder", w.queries)
	if !w.nodes[i].deduplicator.Grant("ledger", key, holder).Granted {
		return
	}
	g, found := w.held[key]
	if found && (!strings.HasPrefix(key, "opaque") || w.clock.Since(g.at) <= window) {
		t.Fatalf("key %s was granted by %s and again by %s", key, g.node.id, target)
	}
	w.granted++
	w.held[key] = grant{w.nodes[i], holder, w.clock.Now()}
}

// TestGrantsEachKeyOnce checks against a plain map that each key is granted at most
// once while nodes crash, are replaced, pause and resume, and receive membership changes
// late.
func TestGrantsEachKeyOnce(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &testFleet{clock: clockwork.NewFakeClockAt(epoch), held: map[string]grant{}}
		for range 3 {
			w.start(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "seconds") {
					w.tick()
				}
			},
			"key":  func(t *rapid.T) { w.keys = append(w.keys, w.newKey(t)) },
			"ask1": func(t *rapid.T) { w.requestAny(t) },
			"ask2": func(t *rapid.T) { w.requestAny(t) },
			"ask3": func(t *rapid.T) { w.requestAny(t) },
			"replace": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
					i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "dead")
					w.nodes = slices.Delete(w.nodes, i, i+1)
					w.start(t)
				}
			},
			"pause": func(t *rapid.T) {
				n := rapid.SampledFrom(w.nodes).Draw(t, "node")
				n.paused = !n.paused
			},
			"release": func(t *rapid.T) {
				for _, key := range w.keys {
					if g, found := w.held[key]; found && rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
						g.node.deduplicator.Release("ledger", key, g.holder)
						delete(w.held, key)
					}
				}
			},
		})
		granted += w.granted
	})
	if granted < 500 {
		t.Fatalf("only %d keys were granted: too many refusals for a meaningful check", granted)
	}
}

func (w *testFleet) requestAny(t *rapid.T) {
	if len(w.keys) == 0 {
		t.Skip("no keys")
	}
	key := w.keys[max(0, len(w.keys)-1-rapid.IntRange(0, 9).Draw(t, "age"))]
	w.request(t, rapid.SampledFrom(w.nodes).Draw(t, "asker"), key)
}

func TestGrantsOneOfManyConcurrentRequests(t *testing.T) {
	is := is.New(t)
	d := deduplicator.New("node", clockwork.NewFakeClockAt(epoch))
	key := d.Issue()
	var granted atomic.Int32
	var group sync.WaitGroup
	for i := range 50 {
		group.Go(func() {
			if d.Grant("kiosk", key, fmt.Sprint(i)).Granted {
				granted.Add(1)
			}
		})
	}
	group.Wait()
	is.Equal(granted.Load(), int32(1))
}

func TestOnlyHolderReleases(t *testing.T) {
	is := is.New(t)
	d := deduplicator.New("node", clockwork.NewFakeClockAt(epoch))
	key := d.Issue()
	is.True(d.Grant("kiosk", key, "first").Granted)
	d.Release("kiosk", key, "second")
	is.Equal(d.Grant("kiosk", key, "second").Reason, fleet.ReasonDuplicate)
	d.Release("kiosk", key, "first")
	is.True(d.Grant("kiosk", key, "second").Granted)
}

func TestReplacedNodeRefusesOldKey(t *testing.T) {
	is := is.New(t)
	key := deduplicator.New("old", clockwork.NewFakeClockAt(epoch)).Issue()
	is.Equal(deduplicator.New("new", clockwork.NewFakeClockAt(epoch)).Grant("kiosk", key, "holder").Reason, fleet.ReasonDeduplicator)
}
