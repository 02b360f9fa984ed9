package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cowsliptally.example/cowsliptally/announcer"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/registrar"
)

// measureAnnouncements measures the cost of the leases of a VM's backend servers on
// both sides, registrar and announcers.
func measureAnnouncements(args arguments) ([]measurement, error) {
	processor := measurement{name: "leases, processor of both sides", per: "upstream of the VM", unit: "µs/s"}
	bytes := measurement{name: "leases, bytes over loopback", per: "upstream of the VM", unit: "B/s"}
	for _, n := range []int{7, 14, 28, 56} {
		used, sent, err := announceFor(n, args.Span)
		if err != nil {
			return nil, err
		}
		processor.add(float64(n), float64(used.Microseconds())/args.Span.Seconds())
		bytes.add(float64(n), float64(sent)/args.Span.Seconds())
	}
	return []measurement{processor, bytes}, nil
}

// announceFor runs count announcers against one registrar and returns the processor
// time and bytes that they use in span.
func announceFor(count int, span time.Duration) (used time.Duration, sent int64, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	mux := http.NewServeMux()
	mux.Handle(cowsliptallyv1connect.NewBackendServiceHandler(registrar.New("node-1", "zone-1")))
	server := &http.Server{Handler: mux}
	defer server.Close()
	var crossed atomic.Int64
	go func() { _ = server.Serve(countingListener{listener, &crossed}) }()
	for i := range count {
		a := announcer.New(listener.Addr().String(), sampleBackend(i))
		go func() { _ = a.Run(ctx) }()
	}
	time.Sleep(time.Second)
	timeBefore, bytesBefore := processorTime(), crossed.Load()
	time.Sleep(span)
	return processorTime() - timeBefore, crossed.Load() - bytesBefore, nil
}
