package main

import (
	"net/http"
	"time"

	"cowsliptally.example/cowsliptally/caller"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/translator"
)

const (
	ledger fleet.ServiceName = "ledger"
	intake fleet.ServiceName = "intake"

	// The numbers of backend servers, each with 4 slots: the default of the backend
	// server's flag --slots.
	ledgerServers = 9
	intakeServers = 4
	// The floors leave room to eject a third of ledger's backend servers and one of
	// intake's.
	ledgerFloor = 24
	intakeFloor = 12

	photographBytes = 64 << 10
	requestTimeout  = 2 * time.Second
)

// zones returns the availability zones of the fleet's region, Gyeonggi.
func zones() []fleet.Zone { return []fleet.Zone{"suwon", "yongin", "hwaseong"} }

// kinds returns the kinds of requests in the load.
func kinds() []caller.Kind {
	return []caller.Kind{
		{Name: "history", Method: http.MethodGet, Path: "/ledger/history", Share: 60, Idempotent: true, AnswerSize: 2 << 10, Timeout: requestTimeout},
		{Name: "booking", Method: http.MethodPost, Path: "/ledger/bookings", Share: 15, Size: 512, Timeout: requestTimeout},
		{Name: "refund", Method: http.MethodPost, Path: "/ledger/refunds", Share: 10, Size: 256, Timeout: requestTimeout},
		{Name: "photograph", Method: http.MethodPut, Path: "/intake/photographs", Share: 10, Idempotent: true, Size: photographBytes, Timeout: requestTimeout},
		{Name: "quality", Method: http.MethodGet, Path: "/intake/quality", Share: 5, Idempotent: true, Timeout: requestTimeout},
	}
}

// configuration returns the changes that create the two services and their routes.
func configuration() []*cowsliptallyv1.Change {
	changes := []*cowsliptallyv1.Change{
		putService(fleet.Service{Name: ledger, MinHealthySlots: ledgerFloor, Rule: fleet.NewRule(fleet.LeanSteady)}),
		putService(fleet.Service{Name: intake, MinHealthySlots: intakeFloor, Rule: fleet.NewRule(fleet.LeanSteady)}),
	}
	for _, kind := range kinds() {
		route := fleet.Route{
			Name: string(kind.Name), Service: serviceOf(kind), Method: kind.Method, PathPrefix: kind.Path,
			Kind: kind.Name, Weight: 1, Idempotent: kind.Idempotent, Timeout: kind.Timeout,
		}
		changes = append(changes, &cowsliptallyv1.Change{
			Edit: &cowsliptallyv1.Change_PutRoute{PutRoute: translator.RouteToMessage(route)},
		})
	}
	return changes
}

func putService(service fleet.Service) *cowsliptallyv1.Change {
	return &cowsliptallyv1.Change{
		Edit: &cowsliptallyv1.Change_PutService{PutService: translator.ServiceToMessage(service)},
	}
}

func serviceOf(kind caller.Kind) fleet.ServiceName {
	if kind.Name == "photograph" || kind.Name == "quality" {
		return intake
	}
	return ledger
}
