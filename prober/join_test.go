package prober_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/prober"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/roster"
)

// comparisons records with which nodes one node compares its table.
type comparisons struct {
	of      string
	mu      sync.Mutex
	targets []string
}

func (c *comparisons) record(from, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from == c.of {
		c.targets = append(c.targets, to)
	}
}

// take returns how many comparisons there were since the last call, and with how many nodes.
func (c *comparisons) take() (count, nodes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	distinct := make(map[string]bool)
	for _, target := range c.targets {
		distinct[target] = true
	}
	count, c.targets = len(c.targets), nil
	return count, len(distinct)
}

// TestJoinedNodeComparesWithTwoOthers guards against a node that has just joined and stops to compare tables after two comparisons with
// one node, which may lack what the others hold, and against one that goes on where there is no other node.
func TestJoinedNodeComparesWithTwoOthers(t *testing.T) {
	for size, want := range map[int]int{2: 1, 4: 2} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				last := size - 1
				c := &comparisons{of: address(last)}
				w := newNetwork()
				w.compared = c.record
				t.Cleanup(w.stopAll)
				nodes := w.fleetOf(size)
				time.Sleep(10 * time.Second)
				for round := range 20 {
					// The length of its name is part of the seed of a node.
					w.replace(nodes, last, "n"+strings.Repeat("x", round))
					c.take()
					time.Sleep(10 * time.Second) // before the first regular comparison
					if count, others := c.take(); others < want || count > 6 {
						t.Errorf("round %d: %d comparisons with %d nodes", round, count, others)
					}
					time.Sleep(20 * time.Second)
				}
			})
		})
	}
}

// TestNodesThatJoinProveNothing guards against a node that has joined without what the fleet knows, as it has compared its table with others
// that have just started themselves.
func TestNodesThatJoinProveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork()
		w.joining = map[string]bool{address(1): true, address(2): true, address(3): true, address(4): true}
		t.Cleanup(w.stopAll)
		nodes := w.fleetOf(6)
		time.Sleep(10 * time.Second)
		for round := range 10 {
			identity := fmt.Sprint(crashing, round)
			nodes[0].quarantiner.RecordCrash("one", []string{identity}, nil)
			nodes[0].quarantiner.RecordCrash("two", []string{identity}, []string{identity})
			w.replace(nodes, 5, "n"+strings.Repeat("x", round))
			if knows(nodes[5:], identity, quarantiner.Poison) != 1 {
				t.Errorf("round %d: the node has joined and does not know", round)
			}
			time.Sleep(comparedTime)
		}
	})
}

// TestNodeTellsThatItJoins guards against a node that passes for one that has joined, or for one that has not.
func TestNodeTellsThatItJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		request := connect.NewRequest(&cowsliptallyv1.CompareRequest{Buckets: make([]uint64, roster.BucketCount)})
		alone := prober.New(fleet.Member{ID: "a", PeerAddress: address(0)}, roster.New(), nil)
		response, err := alone.Compare(t.Context(), request)
		is.NoErr(err)
		is.True(response.Msg.GetJoining())
		w := newNetwork()
		t.Cleanup(w.stopAll)
		nodes := w.fleetOf(2)
		time.Sleep(10 * time.Second)
		response, err = nodes[1].prober.Compare(t.Context(), request)
		is.NoErr(err)
		is.True(!response.Msg.GetJoining())
	})
}
