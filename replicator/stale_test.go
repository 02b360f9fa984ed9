package replicator_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/replicator"
	"cowsliptally.example/cowsliptally/standin/logservice/server"
	"cowsliptally.example/cowsliptally/tailer"
)

// forgedPeers return one forged state once they are enabled.
type forgedPeers struct {
	state   *cowsliptallyv1.Checkpoint
	enabled atomic.Bool
}

func (p *forgedPeers) FetchStates(context.Context, uint64) (int, []*cowsliptallyv1.FetchStateResponse) {
	if !p.enabled.Load() {
		return 0, nil
	}
	// The entry does not follow the state, so it must not be applied.
	gap := &cowsliptallyv1.Entry{Offset: 500, Payload: []byte("beyond a gap")}
	return 1, []*cowsliptallyv1.FetchStateResponse{{State: p.state, Entries: []*cowsliptallyv1.Entry{gap}}}
}

// withForgedPeer runs a replicator at revision 2 with a peer whose state has a newer
// offset and the given revision.
func withForgedPeer(t *testing.T, revision uint64, test func(r *replicator.Replicator)) {
	inBubble(t, 1, func(t *testing.T, f *nodes) {
		accept(t, f.list()[0], "first")
		accept(t, f.list()[0], "second")
		forged := proto.Clone(f.list()[0].State().Checkpoint()).(*cowsliptallyv1.Checkpoint)
		forged.NextOffset, forged.Configuration.Revision = 100, revision
		peers := &forgedPeers{state: forged}
		r := replicator.New(server.NewLocalClient(f.logs), replicator.WithPeers(peers))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		within(t, time.Minute, "the log was read", r.Ready)
		peers.enabled.Store(true)
		r.ObservePeerOffset(200)
		time.Sleep(time.Minute)
		if next := r.State().NextOffset(); next > 100 {
			t.Fatalf("applied records up to offset %d across a gap", next)
		}
		test(r)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
	})
}

func TestOlderRevisionIsNeverAdopted(t *testing.T) {
	withForgedPeer(t, 1, func(r *replicator.Replicator) {
		if got := r.Configuration().Revision(); got != 2 {
			t.Fatalf("revision %d, want 2", got)
		}
	})
}

func TestLogThatLacksAppliedRecordsIsNotAppendedTo(t *testing.T) {
	withForgedPeer(t, 3, func(r *replicator.Replicator) {
		if r.Configuration().Revision() != 3 || r.Status() != replicator.StatusDown {
			t.Fatalf("revision %d, status %s, want 3, %s", r.Configuration().Revision(), r.Status(), replicator.StatusDown)
		}
		_, err := r.Propose(t.Context(), floorProposal("x", 3, 1))
		if replicator.KindOf(err) != replicator.KindUnavailable {
			t.Fatalf("error %v, want unavailable", err)
		}
	})
}

// manualTail passes the position to the test, which reports the reads.
type manualTail chan tailer.Position

func (m manualTail) Run(ctx context.Context, _ string, position tailer.Position, _ tailer.Handler) error {
	m <- position
	<-ctx.Done()
	return ctx.Err()
}

func TestReadBegunBeforeAPauseDoesNotMakeReady(t *testing.T) {
	inBubble(t, 0, func(t *testing.T, f *nodes) {
		tail, clock := make(manualTail), &jumpClock{Clock: f.start("a").clock.Clock}
		r := replicator.New(server.NewLocalClient(f.logs), replicator.WithTail(tail), replicator.WithClock(clock))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		position := <-tail
		position.ReadStarted()
		position.ReadSucceeded(0, 0)
		if !r.Ready() {
			t.Fatal("not ready after the log was read")
		}
		position.ReadStarted()
		clock.offset.Add(int64(time.Hour))
		time.Sleep(time.Second)
		position.ReadSucceeded(0, 0)
		if r.Ready() {
			t.Fatal("ready after a read that began before the pause")
		}
		position.ReadStarted()
		position.ReadSucceeded(0, 0)
		if !r.Ready() {
			t.Fatal("not ready after a read that began after the pause")
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
	})
}
