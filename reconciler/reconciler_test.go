package reconciler_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/logclient"
	"cowsliptally.example/cowsliptally/reconciler"
	"cowsliptally.example/cowsliptally/reducer"
	"cowsliptally.example/cowsliptally/replicator"
	"cowsliptally.example/cowsliptally/translator"
)

// sharedLog is a log for several nodes that applies records as they are appended.
type sharedLog struct {
	mu      sync.Mutex
	state   reducer.State
	down    bool
	lose    bool
	appends int
	members []fleet.Member
	local   map[fleet.NodeID][]fleet.Backend
}

func (s *sharedLog) State() reducer.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *sharedLog) Ready() bool { return true }

func (s *sharedLog) Append(_ context.Context, record *cowsliptallyv1.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	if s.down {
		return &replicator.Error{Operation: "append", Kind: replicator.KindUnavailable}
	}
	payload, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	s.state, _ = s.state.ApplyPayload(s.state.NextOffset(), payload)
	if s.lose {
		return &replicator.Error{Operation: "append", Kind: replicator.KindUnknown, Err: &logclient.Error{}}
	}
	return nil
}

func (s *sharedLog) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

func (s *sharedLog) change(edit func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit()
}

func (s *sharedLog) joined(id string) bool {
	_, found := s.State().Backend(fleet.BackendID(id))
	return found
}

func name(i int) fleet.NodeID { return fleet.NodeID(fmt.Sprint("n", i)) }

// inBubble runs reconcilers of count nodes with one backend server each.
func inBubble(t *testing.T, count int, test func(t *testing.T, s *sharedLog)) {
	synctest.Test(t, func(t *testing.T) {
		s := &sharedLog{local: map[fleet.NodeID][]fleet.Backend{}}
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		for i := range count {
			backend := fleet.Backend{ID: fleet.BackendID(fmt.Sprint("b", i)), Service: "ledger", Owner: name(i), Slots: 4, State: fleet.BackendReady, Sequence: 1}
			s.local[name(i)] = []fleet.Backend{backend}
			s.members = append(s.members, fleet.Member{ID: name(i), State: fleet.MemberAlive})
		}
		for i := range count {
			local := func() []fleet.Backend {
				s.mu.Lock()
				defer s.mu.Unlock()
				return append([]fleet.Backend(nil), s.local[name(i)]...)
			}
			members := func() []fleet.Member {
				s.mu.Lock()
				defer s.mu.Unlock()
				return append([]fleet.Member(nil), s.members...)
			}
			tasks.Go(func() { _ = reconciler.New(name(i), s, local, members).Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		test(t, s)
		cancel()
		tasks.Wait()
	})
}

func TestDrainingBackendLeavesAndReturns(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, s *sharedLog) {
		if got := s.State().HealthySlots("ledger"); got != 12 || s.count() != 3 {
			t.Fatalf("%d healthy slots after %d appends, want 12 after 3", got, s.count())
		}
		s.change(func() { s.local["n1"][0].State = fleet.BackendDraining })
		time.Sleep(5 * time.Second)
		if s.joined("b1") {
			t.Fatal("a draining backend server still counts as capacity")
		}
		s.change(func() { s.local["n1"][0].State = fleet.BackendReady })
		time.Sleep(5 * time.Second)
		if !s.joined("b1") {
			t.Fatal("the backend server did not join again")
		}
	})
}

func TestMissingRecordsAreAppendedAfterAnOutage(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, s *sharedLog) {
		s.change(func() { s.down, s.local["n0"], s.appends = true, nil, 0 })
		time.Sleep(2 * time.Hour)
		if s.count() > 500 {
			t.Fatalf("%d append attempts in two hours, want one every 15 to 30 s", s.count())
		}
		s.change(func() { s.down, s.lose = false, true })
		time.Sleep(time.Minute)
		if s.joined("b0") || !s.joined("b1") {
			t.Fatalf("joined: b0 %t, b1 %t, want false, true", s.joined("b0"), s.joined("b1"))
		}
	})
}

func TestBackendsOfADeadNodeLeaveOnce(t *testing.T) {
	inBubble(t, 5, func(t *testing.T, s *sharedLog) {
		s.change(func() { s.members[2].State, s.appends = fleet.MemberSuspect, 0 })
		time.Sleep(5 * time.Minute)
		if !s.joined("b2") {
			t.Fatal("the backend server of a suspected node left")
		}
		orphan := fleet.Backend{ID: "orphan", Service: "ledger", Owner: "dead", Slots: 4}
		s.change(func() {
			join := &cowsliptallyv1.Join{Backend: translator.BackendToMessage(orphan)}
			record := &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Join{Join: join}}
			s.state, _ = s.state.Apply(s.state.NextOffset(), record)
			s.members = append(s.members, fleet.Member{ID: "dead", State: fleet.MemberDead})
		})
		time.Sleep(time.Minute)
		if s.joined("orphan") || s.count() != 1 {
			t.Fatalf("joined %t after %d appends, want false after 1", s.joined("orphan"), s.count())
		}
	})
}

func TestNodeThatSeesMostOthersDeadAppendsNoLeaves(t *testing.T) {
	inBubble(t, 5, func(t *testing.T, s *sharedLog) {
		s.change(func() {
			for i := range 4 {
				s.members[i].State = fleet.MemberDead
			}
			s.appends = 0
		})
		time.Sleep(10 * time.Minute)
		if s.count() != 0 || s.State().HealthySlots("ledger") != 20 {
			t.Fatalf("%d appends, %d healthy slots, want 0, 20", s.count(), s.State().HealthySlots("ledger"))
		}
	})
}
