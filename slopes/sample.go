package main

import (
	"fmt"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/reducer"
	"cowsliptally.example/cowsliptally/translator"
)

const (
	// upstreamsPerNode and upstreamsPerService are the ratios of the target fleet.
	upstreamsPerNode    = 28
	upstreamsPerService = 17
	routesPerService    = 10
	zones               = 14
)

// sampleBackend returns the i-th backend server of a fleet with the target ratios.
func sampleBackend(i int) fleet.Backend {
	node := i / upstreamsPerNode
	return fleet.Backend{
		ID:       fleet.BackendID(fmt.Sprintf("backend-%08x", i)),
		Service:  sampleService(i / upstreamsPerService),
		Owner:    sampleMember(node).ID,
		Zone:     sampleMember(node).Zone,
		Address:  fmt.Sprintf("10.%d.%d.%d:%d", node>>16, node>>8&255, node&255, 8000+i%upstreamsPerNode),
		Slots:    4,
		State:    fleet.BackendReady,
		Sequence: 1<<32 + uint64(i),
	}
}

// sampleMember returns the i-th node.
func sampleMember(i int) fleet.Member {
	return fleet.Member{
		ID:            fleet.NodeID(fmt.Sprintf("node-%06d-%08x", i, i*2654435761)),
		Incarnation:   1,
		PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7002", i>>16, i>>8&255, i&255),
		CallerAddress: fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
		Zone:          fleet.Zone(fmt.Sprintf("zone-%02d", i%zones)),
		Region:        "region-1",
		State:         fleet.MemberAlive,
	}
}

func sampleService(i int) fleet.ServiceName {
	return fleet.ServiceName(fmt.Sprintf("service-%05d", i))
}

// sampleRoute returns the i-th route.
func sampleRoute(i int) fleet.Route {
	return fleet.Route{
		Name:       fmt.Sprintf("route-%06d", i),
		Service:    sampleService(i / routesPerService),
		PathPrefix: fmt.Sprintf("/v1/resource-%06d", i),
		Kind:       "lookup",
		Weight:     1,
		Idempotent: true,
		Timeout:    time.Second,
	}
}

// sampleLimit returns the i-th organisation's limit.
func sampleLimit(i int) fleet.Limit {
	return fleet.Limit{
		Organisation:      fleet.Organisation(fmt.Sprintf("organisation-%07d", i)),
		RequestsPerSecond: 100,
		Burst:             20,
	}
}

// stateWith returns a replicated state with so many services, routes and organisations.
func stateWith(services, routes, organisations int) reducer.State {
	c := fleet.Configuration{}.WithRevision(1)
	for i := range services {
		c = c.WithService(fleet.Service{Name: sampleService(i), MinHealthySlots: 4})
	}
	for i := range routes {
		c = c.WithRoute(sampleRoute(i))
	}
	for i := range organisations {
		c = c.WithLimit(sampleLimit(i))
	}
	state, err := reducer.FromCheckpoint(&cowsliptallyv1.Checkpoint{
		NextOffset:    1,
		Configuration: translator.ConfigurationToMessage(c),
	})
	if err != nil {
		panic(err) // unreachable: the samples are valid
	}
	return state
}
