package enforcer

import (
	"context"
	"errors"
	"sync"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/quota/allocator"
)

// errNotJoined is the answer of a node that does not know yet who the home nodes are.
var errNotJoined = errors.New("this node has not joined the fleet")

// errUnknownCall is the answer of a node of a build without quotas.
var errUnknownCall = errors.New("the node does not know the call")

// errNotFirst is the answer to a call that was passed on to a node that takes another one for the first.
var errNotFirst = errors.New("this node is not the home node")

// Renew answers the first node of some organisations, which asks for this node's promise.
func (e *Enforcer) Renew(_ context.Context, request *connect.Request[cowsliptallyv1.RenewRequest]) (*connect.Response[cowsliptallyv1.RenewResponse], error) {
	e.noticeFreeze()
	if !e.joined() {
		return nil, connect.NewError(connect.CodeUnavailable, errNotJoined)
	}
	response := &cowsliptallyv1.RenewResponse{}
	for _, message := range request.Msg.GetRenewals() {
		renewal := fromMessage(message)
		organisation := renewal.Limit.Organisation
		handed, given := e.allocator.Hear(fleet.NodeID(request.Msg.GetNode()), renewal, e.ranker.Place(organisation), e.elapsed())
		if !given {
			response.Refused = append(response.Refused, string(organisation))
		}
		if handed != nil {
			response.Handed = append(response.Handed, toMessage(*handed))
		}
	}
	return connect.NewResponse(response), nil
}

// renew asks the second node of some organisations for its promise.
func (e *Enforcer) renew(ctx context.Context, second fleet.Member, renewals []allocator.Renewal) {
	message := &cowsliptallyv1.RenewRequest{Node: string(e.self)}
	for _, renewal := range renewals {
		message.Renewals = append(message.Renewals, toMessage(renewal))
	}
	asked := e.elapsed()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	e.counters.renewals.Inc(1)
	response, err := e.transport.Renew(ctx, second.PeerAddress, message)
	now := e.elapsed()
	if err != nil && unsupported(err) {
		e.ranker.Exclude(second.ID)
	}
	refused := make(map[fleet.Organisation]bool)
	for _, organisation := range response.GetRefused() {
		refused[fleet.Organisation(organisation)] = true
	}
	for _, handed := range response.GetHanded() {
		e.allocator.Handed(fromMessage(handed), now)
	}
	for _, renewal := range renewals {
		organisation := renewal.Limit.Organisation
		if err == nil && !refused[organisation] {
			e.allocator.Promised(organisation, second.ID, asked)
			continue
		}
		e.counters.unpromised.Inc(1)
		e.report(e.allocator.Unpromised(organisation, refused[organisation], now), organisation, second.ID)
	}
}

// renewDue renews the promises that are due, with one call to each node.
func (e *Enforcer) renewDue(ctx context.Context) {
	due := e.allocator.Renewals(e.ranker.Place, e.elapsed())
	if len(due) == 0 {
		return
	}
	var group sync.WaitGroup
	for _, m := range e.members.Members() {
		renewals, found := due[m.ID]
		if !found {
			continue
		}
		group.Go(func() { e.renew(ctx, m, renewals) })
	}
	group.Wait()
}

func toMessage(r allocator.Renewal) *cowsliptallyv1.Renewal {
	return &cowsliptallyv1.Renewal{
		Organisation:      string(r.Limit.Organisation),
		Tokens:            r.Tokens,
		RequestsPerSecond: r.Limit.RequestsPerSecond,
		Burst:             uint32(r.Limit.Burst),
		Revision:          uint64(r.Revision),
	}
}

func fromMessage(m *cowsliptallyv1.Renewal) allocator.Renewal {
	return allocator.Renewal{
		Limit: fleet.Limit{
			Organisation:      fleet.Organisation(m.GetOrganisation()),
			RequestsPerSecond: m.GetRequestsPerSecond(),
			Burst:             int(m.GetBurst()),
		},
		Revision: fleet.Revision(m.GetRevision()),
		Tokens:   m.GetTokens(),
	}
}
