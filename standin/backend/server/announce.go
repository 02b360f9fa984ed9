package server

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/announcer"
	"cowsliptally.example/cowsliptally/fleet"
)

// announce renews the lease at the node of this VM until the server drains;
// then it leaves and waits for the requests in flight.
func (s *Server) announce(address string) {
	if s.node == "" {
		<-s.leave
		return
	}
	backend := fleet.Backend{
		ID: s.id, Service: s.service, Address: address, Slots: s.slots, State: fleet.BackendReady,
	}
	if s.cold > 0 {
		backend.State = fleet.BackendStarting
	}
	announcing := announcer.New(s.node, backend)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = announcing.Run(ctx) }()
	warm := time.NewTimer(s.cold)
	defer warm.Stop()
	select {
	case <-warm.C:
		announcing.SetState(fleet.BackendReady)
		<-s.leave
	case <-s.leave:
	}
	s.depart(announcing)
}

// depart leaves the service until neither the node nor the server has a request in flight.
func (s *Server) depart(announcing *announcer.Announcer) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	for ctx.Err() == nil {
		inFlight, err := announcing.Leave(ctx)
		if (err != nil || inFlight == 0) && s.running.Load() == 0 {
			return
		}
		time.Sleep(leavePeriod)
	}
}
