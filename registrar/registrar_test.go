package registrar_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/registrar"
	"cowsliptally.example/cowsliptally/roster"
)

const (
	ready    = cowsliptallyv1.BackendState_BACKEND_STATE_READY
	draining = cowsliptallyv1.BackendState_BACKEND_STATE_DRAINING
)

func announcement(state cowsliptallyv1.BackendState, sequence uint64) *connect.Request[cowsliptallyv1.AnnounceRequest] {
	return connect.NewRequest(&cowsliptallyv1.AnnounceRequest{
		Id: "b1", Service: "ledger", Address: "127.0.0.1:80", Slots: 4, State: state, Sequence: sequence,
	})
}

// changes records the changes of which a watcher was notified.
type changes struct{ received []fleet.Backend }

func (c *changes) BackendChanged(b fleet.Backend) { c.received = append(c.received, b) }

func (c *changes) last() fleet.Backend { return c.received[len(c.received)-1] }

func newRegistrar(options ...registrar.Option) (*registrar.Registrar, *changes, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	r := registrar.New("n1", "z", append(options, registrar.WithClock(clock))...)
	c := &changes{}
	r.Watch(c)
	return r, c, clock
}

func TestLeaseExpiresAndIsRenewed(t *testing.T) {
	is := is.New(t)
	r, c, clock := newRegistrar()
	ctx := context.Background()
	_, err := r.Announce(ctx, announcement(ready, 0))
	is.NoErr(err)
	for range 11 { // 2.75 s of a lease of 3 s
		clock.Advance(250 * time.Millisecond)
		r.Sweep()
	}
	is.Equal(c.last().State, fleet.BackendReady)
	clock.Advance(250 * time.Millisecond)
	r.Sweep()
	is.Equal(c.last().State, fleet.BackendGone)
	_, err = r.Announce(ctx, announcement(ready, 0))
	is.NoErr(err)
	is.Equal(c.last().State, fleet.BackendReady)
	for i := 1; i < len(c.received); i++ {
		is.True(c.received[i].Sequence > c.received[i-1].Sequence)
	}
}

func TestNodePauseDoesNotExpireLeases(t *testing.T) {
	is := is.New(t)
	r, c, clock := newRegistrar()
	_, err := r.Announce(context.Background(), announcement(ready, 0))
	is.NoErr(err)
	clock.Advance(time.Minute)
	r.Sweep()
	is.Equal(c.last().State, fleet.BackendReady)
}

func TestLeaveIsFinal(t *testing.T) {
	is := is.New(t)
	r, c, _ := newRegistrar()
	ctx := context.Background()
	leave := connect.NewRequest(&cowsliptallyv1.LeaveRequest{Id: "b1"})
	_, err := r.Leave(ctx, leave)
	is.Equal(connect.CodeOf(err), connect.CodeNotFound)
	_, err = r.Announce(ctx, announcement(ready, 0))
	is.NoErr(err)
	_, err = r.Leave(ctx, leave)
	is.NoErr(err)
	is.Equal(c.last().State, fleet.BackendDraining)
	_, err = r.Announce(ctx, announcement(ready, 0))
	is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	_, err = r.Announce(ctx, announcement(draining, 0))
	is.NoErr(err)
	is.Equal(c.last().State, fleet.BackendDraining)
}

func TestNewOwnerStartsAboveEveryKnownSequence(t *testing.T) {
	is := is.New(t)
	table := roster.New()
	old := fleet.Backend{ID: "b1", Service: "ledger", Owner: "n0", State: fleet.BackendReady, Sequence: 1<<32 + 7}
	table.PutBackend(old)
	r, c, _ := newRegistrar(registrar.WithDirectory(table))
	_, err := r.Announce(context.Background(), announcement(ready, 3))
	is.NoErr(err)
	is.True(c.last().Sequence > old.Sequence+1000) // also above what the old owner may still use
	r, c, _ = newRegistrar()
	_, err = r.Announce(context.Background(), announcement(ready, old.Sequence))
	is.NoErr(err)
	is.True(c.last().Sequence > old.Sequence+1000)
}

func TestConflictingEntriesAreResolved(t *testing.T) {
	is := is.New(t)
	r, c, clock := newRegistrar()
	_, err := r.Announce(context.Background(), announcement(ready, 0))
	is.NoErr(err)
	foreign := fleet.Backend{ID: "b1", Service: "ledger", Owner: "n0", State: fleet.BackendReady, Sequence: 1 << 40}
	r.ResolveConflict(foreign)
	is.True(c.last().Sequence > foreign.Sequence) // the lease here takes precedence
	r.ResolveConflict(fleet.Backend{ID: "b9", Owner: "n1", State: fleet.BackendReady, Sequence: 5})
	is.Equal(c.last().ID, fleet.BackendID("b9"))
	is.Equal(c.last().State, fleet.BackendGone) // not on this VM
	r.ReportCrash("b1")
	clock.Advance(time.Second)
	foreign.Sequence = 1 << 50
	r.ResolveConflict(foreign)
	_, found := r.Backend("b1")
	is.True(!found) // the registration moved to another node
}

func TestInvalidAnnouncementsAreRefused(t *testing.T) {
	for name, change := range map[string]func(*cowsliptallyv1.AnnounceRequest){
		"id":      func(m *cowsliptallyv1.AnnounceRequest) { m.Id = "" },
		"service": func(m *cowsliptallyv1.AnnounceRequest) { m.Service = "" },
		"address": func(m *cowsliptallyv1.AnnounceRequest) { m.Address = "localhost:80" },
		"slots":   func(m *cowsliptallyv1.AnnounceRequest) { m.Slots = 0 },
		"state":   func(m *cowsliptallyv1.AnnounceRequest) { m.State = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, c, _ := newRegistrar()
			request := announcement(ready, 0)
			change(request.Msg)
			_, err := r.Announce(context.Background(), request)
			is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument)
			is.Equal(len(c.received), 0)
		})
	}
}

// TestMovedBackendServerIsNotTakenAsLeft has the entry of the VM that it left arrive late, and that
// of an earlier start of this node.
func TestMovedBackendServerIsNotTakenAsLeft(t *testing.T) {
	for _, tc := range []struct {
		name, address string
		state         fleet.BackendState
	}{
		{"another VM", "10.0.0.2:1", fleet.BackendReady},
		{"this VM", "10.0.0.1:1", fleet.BackendDraining},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			table := roster.New()
			table.PutMember(fleet.Member{ID: "n1", Incarnation: 1, PeerAddress: "10.0.0.1:1", State: fleet.MemberAlive})
			table.PutMember(fleet.Member{ID: "n0", Incarnation: 1, PeerAddress: tc.address, State: fleet.MemberAlive})
			r, c, _ := newRegistrar(registrar.WithDirectory(table))
			_, err := r.Announce(context.Background(), announcement(ready, 0))
			is.NoErr(err)
			left := fleet.Backend{ID: "b1", Service: "ledger", Owner: "n0", State: fleet.BackendReady, Sequence: 1<<32 + 7}.WithLeft()
			table.PutBackend(left)
			r.ResolveConflict(left)
			is.Equal(c.last().State, tc.state)
			is.True(c.last().Sequence > left.Sequence)
		})
	}
}
