package replicator

import (
	"context"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Peers queries the states of other nodes.
type Peers interface {
	// FetchStates queries several live nodes for the records or the state beyond
	// the known offset. It returns the number of nodes queried and the responses.
	FetchStates(ctx context.Context, known uint64) (queried int, responses []*cowsliptallyv1.FetchStateResponse)
}

// noPeers are the peers of a fleet of one node.
type noPeers struct{}

// FetchStates queries no node.
func (noPeers) FetchStates(context.Context, uint64) (int, []*cowsliptallyv1.FetchStateResponse) {
	return 0, nil
}
