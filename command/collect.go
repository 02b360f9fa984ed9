package command

import (
	"sync"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/explainer"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/translator"
)

// maxCalls limits how many nodes are queried at a time.
const maxCalls = 64

// status returns the state of the fleet as the node reports it.
func (c *Context) status() (*cowsliptallyv1.GetStatusResponse, error) {
	ctx, cancel := c.call()
	defer cancel()
	response, err := c.Journal().GetStatus(ctx, connect.NewRequest(&cowsliptallyv1.GetStatusRequest{}))
	if err != nil {
		return nil, callError("read status", err)
	}
	return response.Msg, nil
}

// collectEvents queries every node in the given node's membership table for its
// matching events.
func (c *Context) collectEvents(request *cowsliptallyv1.ListEventsRequest) ([]explainer.Source, error) {
	status, err := c.status()
	if err != nil {
		return nil, err
	}
	members := membersToQuery(status.GetMembers())
	sources := make([]explainer.Source, len(members))
	limit := make(chan struct{}, maxCalls)
	var calls sync.WaitGroup
	for i, member := range members {
		limit <- struct{}{}
		calls.Go(func() {
			defer func() { <-limit }()
			sources[i] = c.nodeEvents(member, request)
		})
	}
	calls.Wait()
	return sources, nil
}

// nodeEvents queries one node for its matching events.
func (c *Context) nodeEvents(member *cowsliptallyv1.Member, request *cowsliptallyv1.ListEventsRequest) explainer.Source {
	ctx, cancel := c.call()
	defer cancel()
	source := explainer.Source{Node: member.GetId()}
	client := cowsliptallyv1connect.NewJournalServiceClient(c.client(), "http://"+member.GetPeerAddress())
	response, err := client.ListEvents(ctx, connect.NewRequest(request))
	if err != nil {
		source.Failure = err.Error()
		return source
	}
	for _, event := range response.Msg.GetEvents() {
		source.Events = append(source.Events, translator.EventFromMessage(event))
	}
	return source
}

// membersToQuery returns the members that have not left the fleet.
func membersToQuery(members []*cowsliptallyv1.Member) []*cowsliptallyv1.Member {
	var kept []*cowsliptallyv1.Member
	for _, member := range members {
		if member.GetState() != cowsliptallyv1.MemberState_MEMBER_STATE_LEFT {
			kept = append(kept, member)
		}
	}
	return kept
}
