package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/translator"
)

// quietPeriod is the time without an append after which a count is final.
const quietPeriod = 8 * time.Second

// measureAppends counts the log service's appends for changes of the configuration,
// and for backend servers that join one node and leave it at the same time.
func measureAppends(arguments) ([]measurement, error) {
	f, err := startNodes(3)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	if err := f.configure(); err != nil {
		return nil, err
	}
	f.awaitQuiet()
	changes := measurement{name: "configuration changes", per: "change", unit: "appends"}
	revision := uint64(1)
	for _, n := range []int{5, 10, 20, 40} {
		before := f.log.Stats().Appends
		for i := range n {
			limit := &cowsliptallyv1.Change_PutLimit{PutLimit: translator.LimitToMessage(sampleLimit(i))}
			if err := f.propose(revision, &cowsliptallyv1.Change{Edit: limit}); err != nil {
				return nil, err
			}
			revision++
		}
		changes.add(float64(n), float64(f.awaitQuiet()-before))
	}
	joins := measurement{name: "joins of backend servers of one VM together", per: "join", unit: "appends"}
	leaves := measurement{name: "leaves of backend servers of one VM together", per: "leave", unit: "appends"}
	for _, n := range []int{4, 8, 16, 28} {
		before := f.log.Stats().Appends
		stop := f.announceAll(n)
		joined := f.awaitQuiet()
		joins.add(float64(n), float64(joined-before))
		stop()
		leaves.add(float64(n), float64(f.awaitQuiet()-joined))
	}
	return []measurement{changes, joins, leaves}, nil
}

// awaitQuiet waits for a quietPeriod without appends and returns their total number.
func (f *nodeFleet) awaitQuiet() uint64 {
	count := f.log.Stats().Appends
	for since := time.Now(); time.Since(since) < quietPeriod; time.Sleep(quietPeriod / 40) {
		if now := f.log.Stats().Appends; now != count {
			count, since = now, time.Now()
		}
	}
	return count
}

// announceAll renews the leases of a number of backend servers until stop is called.
func (f *nodeFleet) announceAll(count int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	client := cowsliptallyv1connect.NewBackendServiceClient(http.DefaultClient, "http://"+f.nodes[0].PeerAddress)
	go func() {
		for ctx.Err() == nil {
			for i := range count {
				_, _ = client.Announce(ctx, connect.NewRequest(&cowsliptallyv1.AnnounceRequest{
					Id: fmt.Sprintf("backend-%d-%d", count, i), Service: string(sampleService(0)), Address: "127.0.0.1:1",
					Slots: 4, State: cowsliptallyv1.BackendState_BACKEND_STATE_READY,
				}))
			}
			time.Sleep(time.Second)
		}
	}()
	return cancel
}
