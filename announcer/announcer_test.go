package announcer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/announcer"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/registrar"
)

// slowNode is a registrar whose responses arrive after a delay on the fake clock.
type slowNode struct {
	*registrar.Registrar
	clock *clockwork.FakeClock
	delay time.Duration
	down  bool
}

func (n *slowNode) Announce(ctx context.Context, r *connect.Request[cowsliptallyv1.AnnounceRequest]) (
	*connect.Response[cowsliptallyv1.AnnounceResponse], error,
) {
	if n.down {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("down"))
	}
	response, err := n.Registrar.Announce(ctx, r)
	n.clock.Advance(n.delay)
	return response, err
}

func newNode(clock *clockwork.FakeClock) *slowNode {
	return &slowNode{Registrar: registrar.New("n1", "z", registrar.WithClock(clock)), clock: clock}
}

func newAnnouncer(n *slowNode) *announcer.Announcer {
	b := fleet.Backend{ID: "b1", Service: "ledger", Address: "127.0.0.1:80", Slots: 4, State: fleet.BackendReady}
	return announcer.New("127.0.0.1:1", b, announcer.WithNode(n), announcer.WithClock(n.clock))
}

func TestLeaseCountsFromStartOfCall(t *testing.T) {
	is := is.New(t)
	n := newNode(clockwork.NewFakeClock())
	a := newAnnouncer(n)
	is.True(!a.Leased())
	n.delay = 2 * time.Second // a pause before the response was read
	is.NoErr(a.Announce(context.Background()))
	is.True(a.Leased())
	n.clock.Advance(time.Second)
	is.True(!a.Leased()) // 3 s after the start of the call
	n.down = true
	is.True(a.Announce(context.Background()) != nil)
	is.True(!a.Leased())
}

func TestLeaveWorksOnReplacedNode(t *testing.T) {
	is := is.New(t)
	n := newNode(clockwork.NewFakeClock())
	a := newAnnouncer(n)
	is.NoErr(a.Announce(context.Background()))
	before, _ := n.Backend("b1")
	n.Registrar = registrar.New("n2", "z", registrar.WithClock(n.clock))
	inFlight, err := a.Leave(context.Background())
	is.NoErr(err)
	is.Equal(inFlight, 0)
	after, found := n.Backend("b1")
	is.True(found)
	is.Equal(after.State, fleet.BackendDraining)
	is.True(after.Sequence > before.Sequence)
	a.SetState(fleet.BackendReady)
	is.NoErr(a.Announce(context.Background())) // still draining
	after, _ = n.Backend("b1")
	is.Equal(after.State, fleet.BackendDraining)
}
