package prober_test

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

const ready = cowsliptallyv1.BackendState_BACKEND_STATE_READY

func TestFleetForms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(16)
		time.Sleep(20 * time.Second) // includes one comparison of tables
		equalTables(t, nodes)
		for _, n := range nodes {
			is.Equal(len(n.roster.Members()), 16)
		}
	})
}

func TestNewBackendIsKnownEverywhereWithin2500Milliseconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(64)
		time.Sleep(20 * time.Second)
		is.NoErr(nodes[3].announce("b1", "ledger", ready))
		time.Sleep(2500 * time.Millisecond)
		is.NoErr(nodes[3].announce("b1", "ledger", ready))
		for _, n := range nodes {
			is.Equal(len(n.roster.Backends("ledger")), 1)
		}
	})
}

func TestLeaveIsKnownEverywhereWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(64)
		time.Sleep(10 * time.Second)
		is.NoErr(nodes[3].announce("b1", "ledger", ready))
		is.NoErr(nodes[4].announce("b2", "ledger", ready))
		time.Sleep(2500 * time.Millisecond)
		request := connect.NewRequest(&cowsliptallyv1.LeaveRequest{Id: "b1"})
		_, err := nodes[3].registrar.Leave(context.Background(), request)
		is.NoErr(err)
		is.True(nodes[3].announce("b1", "ledger", ready) != nil) // a late announcement does not undo it
		is.NoErr(nodes[4].prober.Leave(context.Background()))
		const within = 2 * time.Second
		time.Sleep(within)
		for _, n := range nodes {
			backends, left := n.roster.Backends("ledger"), n.sees(nodes[4], fleet.MemberLeft)
			if len(backends) == 0 && left {
				continue
			}
			t.Errorf("%s after %s: %d members, knows that the node left: %t, backend servers %v", n.self.ID, within, len(n.roster.Members()), left, backends)
			told := time.Now()
			for (!n.sees(nodes[4], fleet.MemberLeft) || len(n.roster.Backends("ledger")) > 0) && time.Since(told) < time.Minute {
				time.Sleep(50 * time.Millisecond)
			}
			t.Logf("%s heard of all %s later, if at all", n.self.ID, time.Since(told))
		}
	})
}

// TestBackendServerThatLeftIsNotUsedAfterItsOwnerRestarts kills the owner after the departure has
// spread. A late announcement reaches its next start before and after it joins.
func TestBackendServerThatLeftIsNotUsedAfterItsOwnerRestarts(t *testing.T) {
	for _, wait := range []time.Duration{0, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newNetwork()
			defer w.stopAll()
			nodes := w.fleetOf(16)
			time.Sleep(10 * time.Second)
			is.NoErr(nodes[3].announce("b1", "ledger", ready))
			time.Sleep(2500 * time.Millisecond)
			_, err := nodes[3].registrar.Leave(context.Background(), connect.NewRequest(&cowsliptallyv1.LeaveRequest{Id: "b1"}))
			is.NoErr(err)
			time.Sleep(2 * time.Second)
			w.kill(nodes[3])
			nodes[3] = w.start("again", address(3), address(0), address(1))
			time.Sleep(wait)
			_ = nodes[3].announce("b1", "ledger", ready)
			for range 5 {
				for i, n := range nodes {
					if i != 3 {
						is.Equal(len(n.roster.Backends("ledger")), 0)
					}
				}
				time.Sleep(time.Second)
				_ = nodes[3].announce("b1", "ledger", ready)
			}
			is.Equal(len(nodes[3].roster.Backends("ledger")), 0)
			backend, _ := nodes[3].registrar.Backend("b1")
			is.True(!backend.AcceptsRequests())
		})
	}
}

func TestKilledNodeIsDeclaredDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(8)
		time.Sleep(5 * time.Second)
		w.kill(nodes[2])
		time.Sleep(10 * time.Second)
		for i, n := range nodes {
			is.True(i == 2 || n.sees(nodes[2], fleet.MemberDead))
		}
	})
}

// TestCheckedNodeIsSuspectEverywhereWithinTwoSeconds requests the check of a killed node at one node.
func TestCheckedNodeIsSuspectEverywhereWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(64)
		time.Sleep(10 * time.Second)
		w.kill(nodes[2])
		nodes[7].prober.RequestProbe(nodes[2].self.ID)
		nodes[7].prober.RequestProbe(nodes[3].self.ID) // alive
		nodes[7].prober.RequestProbe("nobody")
		time.Sleep(2 * time.Second)
		for i, n := range nodes {
			is.True(i == 2 || !n.sees(nodes[2], fleet.MemberAlive))
			is.True(n.sees(nodes[3], fleet.MemberAlive))
		}
	})
}

// suspectedNodes collects the nodes that were declared suspect or dead.
func suspectedNodes(w *network) func() map[string]bool {
	var mu sync.Mutex
	suspected := make(map[string]bool)
	w.setWatch(func(_ *node, event fleet.Event) {
		mu.Lock()
		defer mu.Unlock()
		state, _, _ := strings.Cut(event.Reason, ":")
		if state == "suspect" || state == "dead" {
			suspected[event.Subject+" "+state] = true
		}
	})
	return func() map[string]bool {
		mu.Lock()
		defer mu.Unlock()
		return maps.Clone(suspected)
	}
}

func TestOneWayLinkFailureCausesNoSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(8)
		time.Sleep(5 * time.Second)
		suspected := suspectedNodes(w)
		w.setCut(nodes[1], nodes[2], true)
		time.Sleep(2 * time.Minute)
		is.Equal(suspected(), map[string]bool{})
	})
}

func TestNodeThatReceivesNothingSuspectsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(8)
		time.Sleep(5 * time.Second)
		suspected := suspectedNodes(w)
		for _, n := range nodes[1:] {
			w.setCut(n, nodes[0], true)
		}
		time.Sleep(2 * time.Minute)
		is.Equal(suspected(), map[string]bool{"n0 suspect": true, "n0 dead": true})
		for _, n := range nodes[1:] {
			w.setCut(n, nodes[0], false)
		}
		time.Sleep(2 * time.Minute)
		for _, n := range nodes {
			is.True(n.sees(nodes[0], fleet.MemberAlive))
		}
	})
}

func TestPausedNodeCausesNoSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		w.latency = 150 * time.Millisecond // so that pauses overlap running probes
		defer w.stopAll()
		nodes := w.fleetOf(2) // no helper that could mask a wrong suspicion
		time.Sleep(5 * time.Second)
		suspected := suspectedNodes(w)
		for i := range 40 {
			time.Sleep(time.Duration(10*i) * time.Millisecond) // pauses begin at all points of a probe
			nodes[0].freeze()
			nodes[1].freeze()
			time.Sleep(3 * time.Second)
			nodes[0].thaw()
			nodes[1].thaw()
		}
		time.Sleep(10 * time.Second)
		is.Equal(suspected(), map[string]bool{})
	})
}

func TestNodePausedPastSuspicionDeadlineDeclaresNoneDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(2)
		time.Sleep(5 * time.Second)
		suspected := suspectedNodes(w)
		nodes[1].freeze()
		for len(suspected()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		nodes[0].freeze()
		nodes[1].thaw()
		time.Sleep(10 * time.Second)
		nodes[0].thaw()
		time.Sleep(10 * time.Second)
		is.True(!suspected()["n1 dead"])
		is.True(nodes[0].sees(nodes[1], fleet.MemberAlive))
	})
}

// TestNodeThatFoundNoneIsTakenInWhenContacted starts a node without seeds beside a fleet.
func TestNodeThatFoundNoneIsTakenInWhenContacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(8)
		alone := w.start("alone", address(20))
		time.Sleep(20 * time.Second)
		is.True(!nodes[5].sees(alone, fleet.MemberAlive))
		nodes[2].prober.Contact(context.Background(), []string{address(20), address(5)})
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			is.True(n.sees(alone, fleet.MemberAlive))
			is.True(alone.sees(n, fleet.MemberAlive))
		}
	})
}

func TestUnreachableSeedDoesNotPreventJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		late := w.start("late", address(9), "10.9.9.9:1", address(0))
		time.Sleep(30 * time.Second)
		nodes := w.fleetOf(3)
		time.Sleep(15 * time.Second)
		is.True(late.sees(nodes[2], fleet.MemberAlive))
		is.True(nodes[2].sees(late, fleet.MemberAlive))
	})
}

// restartOf starts count nodes at the same time, each with all addresses as seeds, and
// returns the calls per node in the first 15 s.
func restartOf(t *testing.T, count int) (callsPerNode int) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork()
		defer w.stopAll()
		var all []string
		for i := range count {
			all = append(all, address(i))
		}
		var nodes []*node
		for i := range count {
			nodes = append(nodes, w.start(fmt.Sprintf("n%d", i), address(i), all...))
		}
		for range 15 {
			for i, n := range nodes {
				if err := n.announce(fmt.Sprintf("b%d", i), "ledger", ready); err != nil {
					t.Error(err)
				}
			}
			time.Sleep(time.Second)
		}
		w.mu.Lock()
		callsPerNode = w.calls / count
		w.mu.Unlock()
		for _, n := range nodes {
			if known := len(n.roster.Backends("ledger")); known != count {
				t.Errorf("%s has %d of %d backend servers after 15 s", n.self.ID, known, count)
			}
		}
	})
	return callsPerNode
}

// TestCallsPerNodeOfFullRestartDoNotGrowWithFleet starts whole fleets at once, as after
// a power failure. All backend servers are known on all nodes within 15 s, the time allowed
// for a recovery.
func TestCallsPerNodeOfFullRestartDoNotGrowWithFleet(t *testing.T) {
	small, large := restartOf(t, 50), restartOf(t, 200)
	t.Logf("calls per node in 15 s: %d with 50 nodes, %d with 200", small, large)
	if large > 2*small {
		t.Errorf("%d calls per node with 200 nodes, %d with 50", large, small)
	}
}

func TestEveryNodeReplacedOneAfterAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(8)
		time.Sleep(5 * time.Second)
		for i, old := range nodes {
			w.kill(old)
			nodes[i] = w.start("new"+string(old.self.ID), old.self.PeerAddress, address(0), address(1))
			for range 15 {
				for j, n := range nodes {
					is.NoErr(n.announce(string(old.self.ID[:1])+address(j), "ledger", ready))
				}
				time.Sleep(time.Second)
			}
		}
		for _, n := range nodes {
			is.Equal(len(n.roster.Backends("ledger")), 8)
			for _, b := range n.roster.Backends("ledger") {
				is.True(strings.HasPrefix(string(b.Owner), "new"))
			}
		}
		equalTables(t, nodes)
	})
}

func TestLossOfAZoneDeclaresOnlyItsNodesDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(64)
		time.Sleep(20 * time.Second)
		suspected := suspectedNodes(w)
		for _, n := range nodes[:16] {
			w.kill(n)
		}
		lost := time.Now()
		declaredDead := func() bool {
			for _, n := range nodes[16:] {
				for _, dead := range nodes[:16] {
					if !n.sees(dead, fleet.MemberDead) {
						return false
					}
				}
			}
			return true
		}
		for !declaredDead() && time.Since(lost) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		is.True(declaredDead())
		t.Logf("16 of 64 nodes declared dead everywhere after %s", time.Since(lost))
		is.Equal(len(suspected()), 32) // each lost node suspect, then dead, and no other
	})
}

func TestLongPartitionReconnectsAfterHealing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(10)
		time.Sleep(20 * time.Second)
		w.kill(nodes[0]) // both seeds, so that nodes can only reconnect through dead entries
		w.kill(nodes[1])
		nodes = nodes[2:]
		setCut := func(cut bool) {
			for _, left := range nodes[:4] {
				for _, right := range nodes[4:] {
					w.setCut(left, right, cut)
					w.setCut(right, left, cut)
				}
			}
		}
		setCut(true)
		time.Sleep(10 * time.Minute)
		for _, left := range nodes[:4] {
			for _, right := range nodes[4:] {
				is.True(left.sees(right, fleet.MemberDead))
				is.True(right.sees(left, fleet.MemberDead))
			}
		}
		setCut(false)
		time.Sleep(2 * time.Minute)
		for _, n := range nodes {
			for _, other := range nodes {
				is.True(n.sees(other, fleet.MemberAlive))
			}
		}
		equalTables(t, nodes)
	})
}
