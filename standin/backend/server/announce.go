package server

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/announcer"
	"cowsliptally.example/cowsliptally/fleet"
)

// announce renews the server's lease at the node of its VM until the server
// drains; then it leaves the service and waits for the requests in flight.
func (s *Server) announce(address string) {
	if s.node == "" {
		<-s.drainRequested
		return
	}
	backend := fleet.Backend{
		ID: s.id, Service: s.service, Address: address, Slots: s.slots, State: fleet.BackendReady,
	}
	if s.coldStart > 0 {
		backend.State = fleet.BackendStarting
	}
	a := announcer.New(s.node, backend)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = a.Run(ctx) }()
	warmUp := time.NewTimer(s.coldStart)
	defer warmUp.Stop()
	select {
	case <-warmUp.C:
		a.SetState(fleet.BackendReady)
		<-s.drainRequested
	case <-s.drainRequested:
	}
	s.leaveService(a)
}

// leaveService reports to the node that the server leaves its service until
// neither of them has a request in flight, for at most drainTimeout.
func (s *Server) leaveService(a *announcer.Announcer) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	for ctx.Err() == nil {
		inFlight, err := a.Leave(ctx)
		if (err != nil || inFlight == 0) && s.running.Load() == 0 {
			return
		}
		time.Sleep(leavePollInterval)
	}
}
