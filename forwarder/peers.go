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

// dialTimeout bounds the dialling of a connection for a call.
const dialTimeout = 200 * time.Millisecond

// peers makes calls to other nodes. Each uses a fresh connection, because it must succeed
// when pooled connections have gone silent.
type peers struct {
	client *http.Client
}

func newPeers() *peers {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &peers{client: &http.Client{Transport: transport}}
}

// seal requests an owner never to dispatch an attempt. An error means that the owner could
// not be queried.
func (p *peers) seal(ctx context.Context, address string, request fleet.RequestID, attempt int, ticket string) (bool, error) {
	message := &cowsliptallyv1.SealRequest{Request: string(request), Attempt: uint32(attempt), Ticket: ticket}
	response, err := p.clientFor(address).Seal(ctx, connect.NewRequest(message))
	if err != nil {
		return false, err
	}
	return response.Msg.GetSealed(), nil
}

// grant requests a key from a node.
func (p *peers) grant(ctx context.Context, address string, service fleet.ServiceName, key, holder string) (bool, fleet.Reason, error) {
	message := &cowsliptallyv1.GrantRequest{Service: string(service), Key: key, Request: holder}
	response, err := p.clientFor(address).Grant(ctx, connect.NewRequest(message))
	if err != nil {
		return false, fleet.ReasonDeduplicator, err
	}
	return response.Msg.GetGranted(), fleet.Reason(response.Msg.GetReason()), nil
}

// grantTrial requests a trial run from a node.
func (p *peers) grantTrial(ctx context.Context, address string, message *cowsliptallyv1.GrantRequest) (*cowsliptallyv1.GrantResponse, error) {
	response, err := p.clientFor(address).Grant(ctx, connect.NewRequest(message))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// exchangeRecord tells a node what this one knows of an identity, and returns what that node knows.
func (p *peers) exchangeRecord(ctx context.Context, address string, record *cowsliptallyv1.QuarantineRecord) ([]*cowsliptallyv1.QuarantineRecord, error) {
	message := &cowsliptallyv1.SuspectRequest{Records: []*cowsliptallyv1.QuarantineRecord{record}}
	response, err := p.clientFor(address).Suspect(ctx, connect.NewRequest(message))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetRecords(), nil
}

// release returns a key or trial run to the node that granted it.
func (p *peers) release(ctx context.Context, address string, service fleet.ServiceName, key, holder string) error {
	message := &cowsliptallyv1.ReleaseRequest{Service: string(service), Key: key, Request: holder}
	_, err := p.clientFor(address).Release(ctx, connect.NewRequest(message))
	return err
}

func (p *peers) clientFor(address string) cowsliptallyv1connect.RequestServiceClient {
	return cowsliptallyv1connect.NewRequestServiceClient(p.client, "http://"+address)
}
