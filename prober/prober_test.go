package prober_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

const ready = cowsliptallyv1.BackendState_BACKEND_STATE_READY

func TestFleetFormsAndSpreadsBackends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork()
		defer w.stopAll()
		nodes := w.fleetOf(16)
		is.NoErr(nodes[3].announce("b1", "ledger", ready))
		time.Sleep(2500 * time.Millisecond)
		is.NoErr(nodes[3].announce("b1", "ledger", ready))
		equalTables(t, nodes)
		for _, n := range nodes {
			is.Equal(len(n.roster.Members()), 16)
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
		time.Sleep(2 * time.Second)
		for _, n := range nodes {
			is.Equal(len(n.roster.Backends("ledger")), 0)
			is.True(n.sees(nodes[4], fleet.MemberLeft))
		}
	})
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
