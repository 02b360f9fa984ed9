package updater_test

import (
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/updater"
)

// noBackends is a fleet without backend servers.
type noBackends struct{}

func (noBackends) Slots(fleet.ServiceName) int { return 0 }

func (noBackends) Backend(fleet.BackendID) (fleet.Backend, bool) { return fleet.Backend{}, false }

func deleteService(name string) *cowsliptallyv1.Change {
	return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteService{DeleteService: name}}
}

func deleteRoute(name string) *cowsliptallyv1.Change {
	return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteRoute{DeleteRoute: name}}
}

// TestServiceInUseIsNotDeleted guards against a route that is left without its service,
// whether it names the service itself or in its split.
func TestServiceInUseIsNotDeleted(t *testing.T) {
	split := fleet.NewSplit(fleet.Share{Service: "ledger", Weight: 3}, fleet.Share{Service: "intake", Weight: 1})
	base := fleet.Configuration{}.WithService(fleet.Service{Name: "ledger"}).
		WithService(fleet.Service{Name: "intake"}).WithService(fleet.Service{Name: "old"})
	cases := []struct {
		name    string
		route   fleet.Route
		changes []*cowsliptallyv1.Change
		kind    updater.Kind
	}{
		{"named by the route", fleet.Route{Service: "intake"}, []*cowsliptallyv1.Change{deleteService("intake")}, updater.KindInUse},
		{"named by the split", fleet.Route{Service: "ledger", Split: split}, []*cowsliptallyv1.Change{deleteService("intake")}, updater.KindInUse},
		{"replaced by the split", fleet.Route{Service: "old", Split: split}, []*cowsliptallyv1.Change{deleteService("old")}, ""},
		{"of no route", fleet.Route{Service: "ledger"}, []*cowsliptallyv1.Change{deleteService("intake")}, ""},
		{"deleted with its route", fleet.Route{Split: split}, []*cowsliptallyv1.Change{deleteService("intake"), deleteRoute("all")}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tc.route.Name, tc.route.PathPrefix = "all", "/"
			_, _, err := updater.New(noBackends{}).Update(base.WithRoute(tc.route), tc.changes)
			is.Equal(fault.KindOf[updater.Kind](err), tc.kind)
		})
	}
}
