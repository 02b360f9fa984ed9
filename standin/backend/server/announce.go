package server

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
)

// announce renews the lease at the node of this VM until the server drains;
// then it leaves and waits for the requests in flight.
func (s *Server) announce(address string) {
	if s.node == "" {
		<-s.leave
		return
	}
	client := cowsliptallyv1connect.NewBackendServiceClient(
		&http.Client{Timeout: announcePeriod}, "http://"+s.node)
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for !s.draining.Load() {
		s.renew(client, address)
		select {
		case <-ticker.C:
		case <-s.leave:
		}
	}
	s.depart(client)
}

// renew announces the server once; a failure is mended by the next one.
func (s *Server) renew(client cowsliptallyv1connect.BackendServiceClient, address string) {
	state := cowsliptallyv1.BackendState_BACKEND_STATE_READY
	if time.Since(s.began) < s.cold {
		state = cowsliptallyv1.BackendState_BACKEND_STATE_STARTING
	}
	request := connect.NewRequest(&cowsliptallyv1.AnnounceRequest{
		Id: string(s.id), Service: string(s.service), Address: address,
		Slots: uint32(s.slots), State: state,
	})
	ctx, cancel := context.WithTimeout(context.Background(), announcePeriod)
	defer cancel()
	if _, err := client.Announce(ctx, request); err != nil {
		time.Sleep(announcePeriod / 10)
	}
}

// depart leaves the service until the node says that nothing is in flight.
func (s *Server) depart(client cowsliptallyv1connect.BackendServiceClient) {
	end := time.Now().Add(drainTimeout)
	for time.Now().Before(end) {
		request := connect.NewRequest(&cowsliptallyv1.LeaveRequest{Id: string(s.id)})
		ctx, cancel := context.WithTimeout(context.Background(), announcePeriod)
		response, err := client.Leave(ctx, request)
		cancel()
		done := err == nil && response.Msg.GetInFlight() == 0
		if (done || err != nil) && s.running.Load() == 0 {
			return
		}
		time.Sleep(announcePeriod / 20)
	}
}
