package replicator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cowsliptally.example/cowsliptally/checkpointer"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/replicator"
	"cowsliptally.example/cowsliptally/standin/logservice/server"
)

// inForceTarget bounds the time until an accepted change is in force at all nodes.
const inForceTarget = 13 * time.Second

func TestNodeCutFromTheLogReceivesChangesFromPeers(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, f *nodes) {
		a, cut := f.list()[0], f.list()[1]
		accept(t, a, "before")
		cut.logClient.SetDisconnected(true)
		time.Sleep(10 * time.Second)
		accept(t, a, "after")
		took := within(t, inForceTarget, "in force at the cut node", func() bool { return revision(cut) == 2 })
		t.Logf("in force after %v", took)
		begin := time.Now()
		_, err := cut.Propose(t.Context(), floorProposal("x", 2, 1))
		if replicator.KindOf(err) != replicator.KindUnavailable || time.Since(begin) != 0 {
			t.Fatalf("error %v after %v, want unavailable at once", err, time.Since(begin))
		}
	})
}

func TestConfigurationSurvivesReplacementOfAllNodesDuringAnOutage(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, f *nodes) {
		for i := range 3 {
			accept(t, f.list()[0], fmt.Sprint("o", i))
		}
		time.Sleep(time.Second)
		f.logs.SetFaults(server.Faults{Down: true})
		for i, old := range f.list() {
			time.Sleep(15 * time.Minute)
			fresh := f.start(fmt.Sprintf("fresh%d", i))
			within(t, inForceTarget, "the fresh node is ready", fresh.Ready)
			if revision(fresh) != 3 {
				t.Fatalf("ready with revision %d, want 3", revision(fresh))
			}
			old.stop()
		}
		f.logs.SetFaults(server.Faults{})
		n := f.list()[2]
		within(t, inForceTarget, "the log is up again", func() bool { return n.Status() == replicator.StatusUp })
		if got := accept(t, n, "later"); got != 4 {
			t.Fatalf("revision %d, want 4", got)
		}
		within(t, inForceTarget, "in force everywhere", func() bool {
			for _, n := range f.list() {
				if revision(n) != 4 {
					return false
				}
			}
			return true
		})
	})
}

func TestAcceptanceResumesSoonAfterAnOutage(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, f *nodes) {
		const longestPause = 3 * time.Second
		n := f.list()[0]
		f.logs.SetFaults(server.Faults{Down: true})
		within(t, inForceTarget, "the outage is detected", func() bool { return n.Status() == replicator.StatusDown })
		time.Sleep(10 * time.Minute)
		f.logs.SetFaults(server.Faults{})
		within(t, longestPause, "the log is up again", func() bool { return n.Status() == replicator.StatusUp })
		accept(t, n, "after")
	})
}

func TestFreshNodeIsNotReadyWithoutLogAndPeers(t *testing.T) {
	inBubble(t, 0, func(t *testing.T, f *nodes) {
		f.logs.SetFaults(server.Faults{Down: true})
		a, b := f.start("a"), f.start("b")
		time.Sleep(10 * time.Minute)
		if a.Ready() || b.Ready() {
			t.Fatal("fresh nodes without a state made each other ready")
		}
		f.logs.SetFaults(server.Faults{})
		within(t, inForceTarget, "ready once the log is up", func() bool { return a.Ready() && b.Ready() })
	})
}

func TestPausedNodeComparesBeforeItIsReady(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *nodes) {
		a, paused := f.list()[0], f.list()[1]
		accept(t, a, "before")
		time.Sleep(time.Second)
		paused.logClient.SetDisconnected(true)
		paused.isolated.Store(true)
		time.Sleep(10 * time.Millisecond)
		accept(t, a, "meanwhile")
		paused.clock.offset.Add(int64(time.Hour))
		if paused.Ready() {
			t.Fatal("ready right after a pause")
		}
		time.Sleep(2 * time.Second)
		if paused.Ready() {
			t.Fatal("ready before it reached the log or a peer")
		}
		paused.logClient.SetDisconnected(false)
		within(t, inForceTarget, "ready again", paused.Ready)
		if revision(paused) != 2 {
			t.Fatalf("ready with revision %d, want 2", revision(paused))
		}
	})
}

func TestIsolatedNodeIsReadyAgainAfterAPause(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *nodes) {
		n := f.list()[0]
		accept(t, n, "before")
		n.logClient.SetDisconnected(true)
		n.isolated.Store(true)
		n.clock.offset.Add(int64(time.Hour))
		within(t, time.Minute, "ready again with the last known state", n.Ready)
		if _, err := n.Propose(t.Context(), floorProposal("x", 1, 1)); replicator.KindOf(err) != replicator.KindUnavailable {
			t.Fatalf("error %v, want unavailable", err)
		}
	})
}

func TestCheckpointsReplaceExpiredRecords(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *nodes) {
		const retained, changes = 40, 200
		f.logs.SetFaults(server.Faults{Retain: retained})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, n := range f.list() {
			c := checkpointer.New(fleet.NodeID(n.name), n, f.members, checkpointer.WithPartBytes(2000))
			go func() { _ = c.Run(ctx) }()
		}
		for i := range changes {
			accept(t, f.list()[0], fmt.Sprint("o", i))
			time.Sleep(time.Second)
		}
		fresh := f.startIsolated("fresh")
		within(t, inForceTarget, "a fresh node restores the state from the log alone", fresh.Ready)
		if revision(fresh) != changes {
			t.Fatalf("revision %d, want %d", revision(fresh), changes)
		}
		stats := f.logs.Stats()
		t.Logf("%d changes, %d appends in all, %d bytes", changes, stats.Appends, stats.Bytes)
		if _, found := fresh.State().Result("o0"); !found {
			t.Fatal("the result of the first operation is lost")
		}
	})
}

// members returns the fleet's nodes as live members.
func (f *nodes) members() []fleet.Member {
	var members []fleet.Member
	for _, n := range f.list() {
		members = append(members, fleet.Member{ID: fleet.NodeID(n.name), State: fleet.MemberAlive})
	}
	return members
}

func TestRecordsExpiredWithoutCheckpointComeFromPeersOnly(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *nodes) {
		for i := range 20 {
			accept(t, f.list()[0], fmt.Sprint("o", i))
		}
		f.logs.SetFaults(server.Faults{Retain: 5})
		fresh := f.startIsolated("fresh")
		time.Sleep(time.Minute)
		if fresh.Ready() || revision(fresh) != 0 || fresh.Status() != replicator.StatusExpired {
			t.Fatalf("ready %t, revision %d, status %s", fresh.Ready(), revision(fresh), fresh.Status())
		}
		fresh.isolated.Store(false)
		within(t, inForceTarget, "ready from peers", fresh.Ready)
		if revision(fresh) != 20 {
			t.Fatalf("revision %d, want 20", revision(fresh))
		}
		within(t, inForceTarget, "reads the log again", func() bool { return fresh.Status() == replicator.StatusUp })
	})
}

func TestForeignRecordsAreSkipped(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, f *nodes) {
		n := f.list()[0]
		if _, err := n.logClient.Append(t.Context(), replicator.Stream, []byte("not ours")); err != nil {
			t.Fatal(err)
		}
		if got := accept(t, n, "o"); got != 1 || n.count(fleet.EventSkipped) != 1 {
			t.Fatalf("revision %d, %d skipped", got, n.count(fleet.EventSkipped))
		}
	})
}
