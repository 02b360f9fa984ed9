package keeper

import (
	"context"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Peers asks other nodes for what they folded.
type Peers interface {
	// FetchStates asks several live nodes for what lies beyond the known offset
	// and returns how many were asked, with the answers that came.
	FetchStates(ctx context.Context, known uint64) (asked int, answers []*cowsliptallyv1.FetchStateResponse)
}

// noPeers is a fleet of one node.
type noPeers struct{}

// FetchStates asks nobody.
func (noPeers) FetchStates(context.Context, uint64) (int, []*cowsliptallyv1.FetchStateResponse) {
	return 0, nil
}
