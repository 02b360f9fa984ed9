package enforcer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

const (
	// useTimeout bounds the call to one node for the use of quotas.
	useTimeout = time.Second
	// maxUseCalls bounds the concurrent calls.
	maxUseCalls = 16
)

// GetUse returns the use of the quotas for which this node grants, or those of all nodes.
func (e *Enforcer) GetUse(ctx context.Context, request *connect.Request[cowsliptallyv1.GetUseRequest]) (*connect.Response[cowsliptallyv1.GetUseResponse], error) {
	response := &cowsliptallyv1.GetUseResponse{Uses: e.Uses()}
	if request.Msg.GetFleet() {
		e.collectUses(ctx, response)
	}
	slices.SortFunc(response.GetUses(), func(a, b *cowsliptallyv1.QuotaUse) int {
		return cmp.Or(cmp.Compare(a.GetOrganisation(), b.GetOrganisation()), cmp.Compare(a.GetNode(), b.GetNode()))
	})
	return connect.NewResponse(response), nil
}

// Uses returns the use of the quotas for which this node grants.
func (e *Enforcer) Uses() []*cowsliptallyv1.QuotaUse {
	var uses []*cowsliptallyv1.QuotaUse
	for _, use := range e.allocator.Uses(e.ranker.Place, e.elapsed()) {
		uses = append(uses, &cowsliptallyv1.QuotaUse{
			Organisation:      string(use.Limit.Organisation),
			RequestsPerSecond: use.Limit.RequestsPerSecond,
			Burst:             uint32(use.Limit.Burst),
			Granted:           uint32(use.Granted),
			Tokens:            use.Tokens,
			Node:              string(e.self),
		})
	}
	return uses
}

// collectUses adds the uses at the other live nodes.
func (e *Enforcer) collectUses(ctx context.Context, response *cowsliptallyv1.GetUseResponse) {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxUseCalls)
	for _, m := range e.members.Members() {
		if m.ID == e.self || !m.IsLive() {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, useTimeout)
			defer cancel()
			answer, err := e.transport.GetUse(ctx, m.PeerAddress, &cowsliptallyv1.GetUseRequest{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				response.Missing = append(response.Missing, string(m.ID))
			}
			response.Uses = append(response.Uses, answer.GetUses()...)
		})
	}
	group.Wait()
}
