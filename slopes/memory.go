package main

import (
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/matcher"
	"cowsliptally.example/cowsliptally/reducer"
	"cowsliptally.example/cowsliptally/roster"
	"cowsliptally.example/cowsliptally/translator"
)

// measureMemory measures the live heap of the tables that a node keeps.
func measureMemory(arguments) ([]measurement, error) {
	backends := measurement{name: "roster, backend servers", per: "upstream", unit: "B"}
	joined := measurement{name: "fold, joined backend servers", per: "upstream", unit: "B"}
	for _, n := range []int{10_000, 30_000, 60_000, 110_000} {
		backends.add(float64(n), heapSizeOf(func() *roster.Roster { return rosterWith(0, n) }))
		joined.add(float64(n), heapSizeOf(func() reducer.State { return stateWithBackends(n) }))
	}
	members := measurement{name: "roster, nodes", per: "node", unit: "B"}
	for _, n := range []int{500, 1000, 2000, 4000} {
		members.add(float64(n), heapSizeOf(func() *roster.Roster { return rosterWith(n, 0) }))
	}
	routes := measurement{name: "configuration, routes", per: "route", unit: "B"}
	indexes := measurement{name: "matcher, routes", per: "route", unit: "B"}
	for _, n := range []int{8_500, 17_000, 34_000, 68_000} {
		routes.add(float64(n), heapSizeOf(func() reducer.State { return stateWith(0, n, 0) }))
		c := stateWith(0, n, 0).Configuration()
		indexes.add(float64(n), heapSizeOf(func() *matcher.Matcher { return matcher.New(c) }))
	}
	limits := measurement{name: "configuration, limits", per: "organisation", unit: "B"}
	for _, n := range []int{60_000, 120_000, 240_000, 490_000} {
		limits.add(float64(n), heapSizeOf(func() reducer.State { return stateWith(0, 0, n) }))
	}
	return []measurement{backends, joined, members, routes, indexes, limits}, nil
}

// rosterWith returns a membership table with so many nodes and backend servers.
func rosterWith(nodes, upstreams int) *roster.Roster {
	table := roster.New()
	for i := range nodes {
		table.PutMember(sampleMember(i))
	}
	for i := range upstreams {
		table.PutBackend(sampleBackend(i))
	}
	return table
}

// stateWithBackends returns a replicated state with so many joined backend servers.
func stateWithBackends(upstreams int) reducer.State {
	var state reducer.State
	for i := range upstreams {
		state, _ = state.Apply(uint64(i), joinRecord(sampleBackend(i)))
	}
	return state
}

func joinRecord(b fleet.Backend) *cowsliptallyv1.Record {
	join := &cowsliptallyv1.Join{Backend: translator.BackendToMessage(b)}
	return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Join{Join: join}}
}
