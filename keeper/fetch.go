package keeper

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// FetchState answers a peer's call: single records where they suffice, the
// whole state otherwise. A node that never knew a state answers unavailable.
func (k *Keeper) FetchState(_ context.Context, r *connect.Request[cowsliptallyv1.FetchStateRequest]) (*connect.Response[cowsliptallyv1.FetchStateResponse], error) {
	known := r.Msg.GetKnownOffset()
	k.mu.Lock()
	if !k.known {
		k.mu.Unlock()
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this node does not know the state yet"))
	}
	state := k.State()
	entries, kept := k.recent.from(known)
	k.mu.Unlock()
	answer := &cowsliptallyv1.FetchStateResponse{
		NextOffset: state.NextOffset(),
		Revision:   uint64(state.Configuration().Revision()),
	}
	switch {
	case known >= state.NextOffset():
	case kept:
		answer.Entries = entries
	default:
		answer.State = state.Checkpoint()
	}
	return connect.NewResponse(answer), nil
}
