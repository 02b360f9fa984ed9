package prober_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cowsliptally.example/cowsliptally/prober"
)

// condition is what happens to a node shortly before a change.
type condition int

const (
	// reaching is a node that lives and reaches the store.
	reaching condition = iota
	// cutOff is one whose reads of the store wait without an answer from then on.
	cutOff
	// dead is one that was killed without an announcement.
	dead
	// started is one that has just been killed and started again, and reaches the store.
	started
	conditions
)

// conditionsOf returns the conditions of all nodes of one case.
func conditionsOf(number, nodes int) (all []condition) {
	for range nodes {
		all = append(all, condition(number%int(conditions)))
		number /= int(conditions)
	}
	return all
}

// TestChangeIsHeardWhileAnyNodeReachesTheStore plays all combinations of what may happen to the
// nodes of a small fleet: a change is in force at all live nodes in time if one of them reaches
// the store. Where only one node may read at a time, others take over after a while. Where no
// node ran on, all settle first.
func TestChangeIsHeardWhileAnyNodeReachesTheStore(t *testing.T) {
	const nodes = 4
	// Nodes that were killed count as live for a moment.
	const all = 2 * nodes
	for readers, limit := range map[int]time.Duration{all: applyTime, 1: all * 10 * time.Second} {
		cases := 1
		for range nodes {
			cases *= int(conditions)
		}
		for number := range cases {
			each := conditionsOf(number, nodes)
			t.Run(fmt.Sprintf("readers=%d/%v", readers, each), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testHearing(t, each, readers, limit) })
			})
		}
	}
}

// testHearing plays one combination.
func testHearing(t *testing.T, each []condition, readers int, limit time.Duration) {
	w := newNetwork()
	o := newOperator()
	o.readers = readers
	w.progress = func(n *node) prober.Progress { return o.add(n) }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(w.stopAll)
	t.Cleanup(cancel)
	fleet := w.fleetOf(len(each))
	for _, n := range fleet {
		o.run(ctx, n)
	}
	time.Sleep(5 * time.Second)
	o.write()
	time.Sleep(5 * time.Second)
	var live []*node
	heard, ranOn := false, false
	for i, n := range fleet {
		switch each[i] {
		case cutOff:
			o.setBlind(n.self.ID, true)
		case dead, started:
			o.remove(n.self.ID)
			w.kill(n)
		}
	}
	time.Sleep(300 * time.Millisecond)
	for i, n := range fleet {
		if each[i] == started {
			n = w.start(fmt.Sprintf("n%d-again", i), address(i), address(0), address(1), address(2), address(3))
			o.run(ctx, n)
		}
		if each[i] != dead {
			live = append(live, n)
			heard = heard || each[i] == reaching || each[i] == started
			ranOn = ranOn || each[i] != started
		}
	}
	o.write()
	time.Sleep(limit)
	if !ranOn {
		time.Sleep(settleTime)
	}
	newest, _ := o.current()
	for _, n := range live {
		if revision := o.follower(n.self.ID).adopter.Document().Revision; heard && revision != newest {
			t.Errorf("%s has revision %d %s after revision %d was written", n.self.ID, revision, limit, newest)
		}
	}
}
