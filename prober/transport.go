package prober

import (
	"context"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Transport calls the PeerService of the node at an IP and port.
type Transport interface {
	Probe(ctx context.Context, address string, request *cowsliptallyv1.ProbeRequest) (
		*cowsliptallyv1.ProbeResponse, error)
	ProbeIndirect(ctx context.Context, address string, request *cowsliptallyv1.ProbeIndirectRequest) (
		*cowsliptallyv1.ProbeIndirectResponse, error)
	Compare(ctx context.Context, address string, request *cowsliptallyv1.CompareRequest) (
		*cowsliptallyv1.CompareResponse, error)
}
