package forwarder

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
)

// dialTimeout bounds the making of a connection for a call.
const dialTimeout = 200 * time.Millisecond

// peers makes calls to other nodes. Each goes over a fresh connection, because it
// must get through when pooled connections have gone silent.
type peers struct {
	client *http.Client
}

func newPeers() *peers {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &peers{client: &http.Client{Transport: transport}}
}

// seal asks an owner never to dispatch an attempt. The error tells that the owner could not be asked.
func (p *peers) seal(ctx context.Context, address string, request fleet.RequestID, attempt int, ticket string) (bool, error) {
	message := &cowsliptallyv1.SealRequest{Request: string(request), Attempt: uint32(attempt), Ticket: ticket}
	response, err := p.to(address).Seal(ctx, connect.NewRequest(message))
	if err != nil {
		return false, err
	}
	return response.Msg.GetSealed(), nil
}

// grant asks a guard for a key.
func (p *peers) grant(ctx context.Context, address string, service fleet.ServiceName, key, holder string) (bool, fleet.Reason, error) {
	message := &cowsliptallyv1.GrantRequest{Service: string(service), Key: key, Request: holder}
	response, err := p.to(address).Grant(ctx, connect.NewRequest(message))
	if err != nil {
		return false, fleet.ReasonGuard, err
	}
	return response.Msg.GetGranted(), fleet.Reason(response.Msg.GetReason()), nil
}

// release gives a key back to its guard.
func (p *peers) release(ctx context.Context, address string, service fleet.ServiceName, key, holder string) error {
	message := &cowsliptallyv1.ReleaseRequest{Service: string(service), Key: key, Request: holder}
	_, err := p.to(address).Release(ctx, connect.NewRequest(message))
	return err
}

func (p *peers) to(address string) cowsliptallyv1connect.RequestServiceClient {
	return cowsliptallyv1connect.NewRequestServiceClient(p.client, "http://"+address)
}
