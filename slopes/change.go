package main

import (
	"fmt"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/matcher"
	"cowsliptally.example/cowsliptally/reducer"
	"cowsliptally.example/cowsliptally/roster"
	"cowsliptally.example/cowsliptally/translator"
)

const changeRuns = 200

// measureChanges measures the processor time of single changes against the size of
// the tables that they change.
func measureChanges(arguments) ([]measurement, error) {
	limits := measurement{name: "fold one change of a limit", per: "organisation", unit: "µs"}
	for _, n := range []int{60_000, 120_000, 240_000, 490_000} {
		state := stateWith(10, 10, n)
		limits.add(float64(n), processorTimeOf(changeRuns, func(i int) { state = applyChange(state, i, n) }))
	}
	routes := measurement{name: "index all routes anew", per: "route", unit: "µs"}
	for _, n := range []int{8_500, 17_000, 34_000, 68_000} {
		c := stateWith(0, n, 0).Configuration()
		routes.add(float64(n), processorTimeOf(5, func(int) { matcher.New(c) }))
	}
	checkpoints := measurement{name: "make a checkpoint", per: "organisation", unit: "µs"}
	for _, n := range []int{60_000, 120_000, 240_000, 490_000} {
		state := stateWith(10, 10, n)
		checkpoints.add(float64(n), processorTimeOf(2, func(int) { state.Checkpoint() }))
	}
	backends := measurement{name: "roster, one change", per: "upstream", unit: "µs"}
	lists := measurement{name: "roster, entries of one bucket", per: "upstream", unit: "µs"}
	expiries := measurement{name: "roster, drop tombstones", per: "upstream", unit: "µs"}
	for _, n := range []int{10_000, 30_000, 60_000, 110_000} {
		table := rosterWith(n/upstreamsPerNode+1, n)
		backends.add(float64(n), processorTimeOf(20_000, func(i int) {
			b := sampleBackend(i % n)
			b.Sequence += uint64(i + 1)
			table.PutBackend(b)
		}))
		lists.add(float64(n), processorTimeOf(100, func(i int) { table.Entries(i % roster.BucketCount) }))
		expiries.add(float64(n), processorTimeOf(20, func(int) { table.Expire() }))
	}
	return []measurement{limits, routes, checkpoints, backends, lists, expiries}, nil
}

// applyChange applies a proposal that changes one organisation's limit.
func applyChange(state reducer.State, i, organisations int) reducer.State {
	limit := sampleLimit(i % organisations)
	limit.Burst += i + 1
	change := &cowsliptallyv1.Change{
		Edit: &cowsliptallyv1.Change_PutLimit{PutLimit: translator.LimitToMessage(limit)},
	}
	proposal := &cowsliptallyv1.Proposal{
		Operation:    fmt.Sprintf("operation-%d", i),
		BaseRevision: uint64(state.Configuration().Revision()),
		Author:       "slopes",
		Changes:      []*cowsliptallyv1.Change{change},
	}
	record := &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Proposal{Proposal: proposal}}
	changed, _ := state.Apply(state.NextOffset(), record)
	return changed
}
