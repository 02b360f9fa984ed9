package registrar_test

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/registrar"
)

// departed is a record of the departure of one backend server.
type departed fleet.BackendID

func (departed) Ready(context.Context) error                   { return nil }
func (d departed) Contains(id fleet.BackendID) bool            { return id == fleet.BackendID(d) }
func (departed) Record(context.Context, fleet.BackendID) error { return nil }

// TestVMIsVacatedByItsLastDepartureOnly guards against a node that goes on inviting callers though its backend server has left,
// and against one that stays without callers though another backend server runs there or the last one only crashed.
func TestVMIsVacatedByItsLastDepartureOnly(t *testing.T) {
	ctx := context.Background()
	announce := func(id string, state cowsliptallyv1.BackendState) func(*registrar.Registrar) {
		return func(r *registrar.Registrar) {
			_, _ = r.Announce(ctx, connect.NewRequest(&cowsliptallyv1.AnnounceRequest{Id: id, Service: "ledger", Address: "127.0.0.1:80", Slots: 4, State: state}))
		}
	}
	depart := func(id fleet.BackendID) func(*registrar.Registrar) {
		return func(r *registrar.Registrar) { _ = r.RecordDeparture(ctx, id) }
	}
	for name, tc := range map[string]struct {
		events  []func(*registrar.Registrar)
		vacated bool
		// recorded is set if the departure of a is recorded where it outlives the process.
		recorded bool
	}{
		"none came":              {},
		"runs":                   {events: []func(*registrar.Registrar){announce("a", ready)}},
		"left":                   {events: []func(*registrar.Registrar){announce("a", ready), depart("a")}, vacated: true},
		"left, by its answer":    {events: []func(*registrar.Registrar){announce("a", ready), func(r *registrar.Registrar) { r.ReportLeaving("a") }}, vacated: true},
		"left before it came":    {events: []func(*registrar.Registrar){depart("a")}, vacated: true},
		"announced after that":   {events: []func(*registrar.Registrar){depart("a"), announce("a", ready)}, vacated: true, recorded: true},
		"crashed":                {events: []func(*registrar.Registrar){announce("a", ready), func(r *registrar.Registrar) { r.ReportCrash("a") }}},
		"another one came":       {events: []func(*registrar.Registrar){announce("a", ready), depart("a"), announce("b", ready)}},
		"another one crashed":    {events: []func(*registrar.Registrar){depart("a"), announce("b", ready), func(r *registrar.Registrar) { r.ReportCrash("b") }}},
		"another one ran before": {events: []func(*registrar.Registrar){announce("a", ready), announce("b", ready), depart("a")}},
		"both left":              {events: []func(*registrar.Registrar){announce("a", ready), announce("b", ready), depart("a"), depart("b")}, vacated: true},
		"told again":             {events: []func(*registrar.Registrar){announce("a", ready), depart("a"), announce("b", ready), func(r *registrar.Registrar) { r.ReportCrash("b") }, depart("a")}},
		"left, before a restart": {events: []func(*registrar.Registrar){announce("a", ready)}, vacated: true, recorded: true},
		"drains, with its node":  {events: []func(*registrar.Registrar){announce("a", ready), (*registrar.Registrar).DrainAll}},
	} {
		t.Run(name, func(t *testing.T) {
			var options []registrar.Option
			if tc.recorded {
				options = append(options, registrar.WithDepartures(departed("a")))
			}
			r, _, _ := newRegistrar(options...)
			for _, event := range tc.events {
				event(r)
			}
			is.New(t).Equal(r.IsVacated(), tc.vacated)
		})
	}
}
