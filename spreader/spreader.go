// Package spreader tells the other nodes which requests may crash backend servers.
package spreader

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/ring"
)

// Members knows the nodes of the fleet.
type Members interface {
	Members() []fleet.Member
}

// Spreader calls every other node that lives. It is safe for concurrent use.
type Spreader struct {
	node    fleet.NodeID
	members Members
	client  *http.Client
	clock   clockwork.Clock
	later   *ring.Ring[news]
}

// New returns the spreader of a node.
func New(node fleet.NodeID, members Members, client *http.Client, options ...Option) *Spreader {
	s := &Spreader{
		node:    node,
		members: members,
		client:  client,
		clock:   clockwork.NewRealClock(),
		later:   ring.New[news](capacity),
	}
	for _, option := range options {
		option(s)
	}
	return s
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

// Run tries again, for a bounded time, what nodes could not be told, until ctx is done.
func (s *Spreader) Run(ctx context.Context) error {
	ticker := s.clock.NewTicker(spacing)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			s.retry(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Spreader) spread(ctx context.Context, message *cowsliptallyv1.SuspectRequest) {
	var all []news
	for _, member := range s.members.Members() {
		if member.ID != s.node && member.Lives() {
			all = append(all, news{member: member, message: message, since: s.clock.Now()})
		}
	}
	s.tell(ctx, all)
}

// retry tells everything that waited when it began.
func (s *Spreader) retry(ctx context.Context) {
	var due []news
	for range s.later.Len() {
		n, found := s.later.Pop(ctx)
		if !found {
			return
		}
		if s.clock.Since(n.since) < patience {
			due = append(due, n)
		}
	}
	s.tell(ctx, due)
}

// tell calls nodes, a bounded number at a time, and keeps what failed for later.
func (s *Spreader) tell(ctx context.Context, all []news) {
	var group sync.WaitGroup
	places := make(chan struct{}, parallel)
	for _, n := range all {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			if s.call(ctx, n) != nil {
				s.later.Push(n)
			}
		})
	}
	group.Wait()
}

func (s *Spreader) call(ctx context.Context, n news) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := cowsliptallyv1connect.NewRequestServiceClient(s.client, "http://"+n.member.PeerAddress)
	_, err := client.Suspect(ctx, connect.NewRequest(n.message))
	return err
}
