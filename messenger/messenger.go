package messenger

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
)

const (
	// maxIdleConnections bounds the idle connections kept open; successive probes go to different nodes.
	maxIdleConnections = 16
	idleTimeout        = 30 * time.Second
	// maxMessageBytes bounds the size of a response.
	maxMessageBytes = 1 << 20
)

// Messenger implements the prober's transport. It is safe for concurrent use.
type Messenger struct {
	client *http.Client
}

// New returns a messenger.
func New(options ...Option) *Messenger {
	transport := &http.Transport{
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	m := &Messenger{client: &http.Client{Transport: transport}}
	for _, option := range options {
		option(m)
	}
	return m
}

// Probe checks that a node is alive and exchanges recent changes with it.
func (m *Messenger) Probe(
	ctx context.Context, address string, request *cowsliptallyv1.ProbeRequest,
) (*cowsliptallyv1.ProbeResponse, error) {
	response, err := m.peer(address).Probe(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// ProbeIndirect requests that a node probe another one.
func (m *Messenger) ProbeIndirect(
	ctx context.Context, address string, request *cowsliptallyv1.ProbeIndirectRequest,
) (*cowsliptallyv1.ProbeIndirectResponse, error) {
	response, err := m.peer(address).ProbeIndirect(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Compare returns the differing buckets of two membership tables, with some of their entries.
func (m *Messenger) Compare(
	ctx context.Context, address string, request *cowsliptallyv1.CompareRequest,
) (*cowsliptallyv1.CompareResponse, error) {
	response, err := m.peer(address).Compare(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (m *Messenger) peer(address string) cowsliptallyv1connect.PeerServiceClient {
	return cowsliptallyv1connect.NewPeerServiceClient(m.client, "http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes))
}
