// Package spreader tells the other nodes which requests may crash backend servers.
package spreader

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
)

// parallel bounds the calls to other nodes at a time.
const parallel = 32

// Members knows the nodes of the fleet.
type Members interface {
	Members() []fleet.Member
}

// Spreader calls every other node that lives. It is safe for concurrent use.
type Spreader struct {
	node    fleet.NodeID
	members Members
	client  *http.Client
}

// New returns the spreader of a node.
func New(node fleet.NodeID, members Members, client *http.Client) *Spreader {
	return &Spreader{node: node, members: members, client: client}
}

// Report tells that a backend server died with these identities in its slots. It
// returns when every node answered or ctx is done.
func (s *Spreader) Report(ctx context.Context, backend fleet.BackendID, identities []string) {
	s.spread(ctx, &cowsliptallyv1.SuspectRequest{
		Node:       string(s.node),
		Backend:    string(backend),
		Identities: identities,
	})
}

// Clear tells that a suspect ran to its end.
func (s *Spreader) Clear(ctx context.Context, identity string) {
	s.spread(ctx, &cowsliptallyv1.SuspectRequest{Node: string(s.node), Cleared: []string{identity}})
}

func (s *Spreader) spread(ctx context.Context, message *cowsliptallyv1.SuspectRequest) {
	var group sync.WaitGroup
	places := make(chan struct{}, parallel)
	for _, member := range s.members.Members() {
		if member.ID == s.node || member.State != fleet.MemberAlive && member.State != fleet.MemberSuspect {
			continue
		}
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			client := cowsliptallyv1connect.NewRequestServiceClient(s.client, "http://"+member.PeerAddress)
			// A node that cannot be told still refuses what the others' answers tell it.
			_, _ = client.Suspect(ctx, connect.NewRequest(message))
		})
	}
	group.Wait()
}
