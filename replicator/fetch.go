package replicator

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// FetchState handles a peer's query. It returns single records where they
// suffice and the whole state otherwise, or CodeUnavailable if the state of this
// node was never compared with the log or with peers.
func (r *Replicator) FetchState(_ context.Context, request *connect.Request[cowsliptallyv1.FetchStateRequest]) (*connect.Response[cowsliptallyv1.FetchStateResponse], error) {
	known := request.Msg.GetKnownOffset()
	r.mu.Lock()
	if !r.everCurrent {
		r.mu.Unlock()
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this node does not know the state yet"))
	}
	state := r.State()
	entries, kept := r.recentRecords.from(known)
	r.mu.Unlock()
	response := &cowsliptallyv1.FetchStateResponse{
		NextOffset: state.NextOffset(),
		Revision:   uint64(state.Configuration().Revision()),
	}
	switch {
	case known >= state.NextOffset():
	case kept:
		response.Entries = entries
	default:
		response.State = state.Checkpoint()
	}
	return connect.NewResponse(response), nil
}
