package prober

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/translator"
)

// maxIndirectTimeout bounds the time limit that a peer may request for an indirect probe.
const maxIndirectTimeout = 5 * time.Second

// Probe confirms that this node is alive and exchanges changes with the sender.
func (p *Prober) Probe(
	_ context.Context, request *connect.Request[cowsliptallyv1.ProbeRequest],
) (*connect.Response[cowsliptallyv1.ProbeResponse], error) {
	from := request.Msg.GetFrom()
	p.handleExchange(from, request.Msg.GetGossip())
	gossip := p.gossip(request.Msg.GetGossip())
	p.appendReceiverState(gossip, fleet.NodeID(from.GetId()), from.GetIncarnation())
	return connect.NewResponse(&cowsliptallyv1.ProbeResponse{
		From:   translator.MemberToMessage(p.Self()),
		Gossip: gossip,
	}), nil
}

// ProbeIndirect probes a node on behalf of another.
func (p *Prober) ProbeIndirect(
	ctx context.Context, request *connect.Request[cowsliptallyv1.ProbeIndirectRequest],
) (*connect.Response[cowsliptallyv1.ProbeIndirectResponse], error) {
	target := translator.MemberFromMessage(request.Msg.GetTarget())
	if target.ID == "" || target.PeerAddress == "" {
		err := fault.New("probe indirectly", KindInvalid, "target %q has peer address %q",
			target.ID, target.PeerAddress)
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	timeout := time.Duration(request.Msg.GetTimeoutMs()) * time.Millisecond
	incarnation, err := p.probeDirect(ctx, target, min(timeout, maxIndirectTimeout))
	if fault.KindOf[Kind](err) == KindSlow {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&cowsliptallyv1.ProbeIndirectResponse{
		Alive:       err == nil,
		Incarnation: incarnation,
	}), nil
}

// FetchState returns this node's replicated state, for nodes that are behind.
func (p *Prober) FetchState(
	ctx context.Context, request *connect.Request[cowsliptallyv1.FetchStateRequest],
) (*connect.Response[cowsliptallyv1.FetchStateResponse], error) {
	state, err := p.progress.FetchState(ctx, request.Msg.GetKnownOffset())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&cowsliptallyv1.FetchStateResponse{State: state}), nil
}

// appendReceiverState adds the receiver's own entry to a message when it is not recorded
// as alive here, so that the receiver can refute it.
func (p *Prober) appendReceiverState(gossip *cowsliptallyv1.Gossip, receiver fleet.NodeID, incarnation uint64) {
	m, known := p.roster.Member(receiver)
	if known && m.State != fleet.MemberAlive && m.Incarnation >= incarnation {
		gossip.Members = append(gossip.Members, memberMessage(m))
	}
}
