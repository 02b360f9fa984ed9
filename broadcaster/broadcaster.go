// Package broadcaster broadcasts to the other nodes which requests may crash backend servers.
package broadcaster

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

// Members lists the nodes of the fleet.
type Members interface {
	Members() []fleet.Member
}

// Broadcaster calls every other live node. It is safe for concurrent use.
type Broadcaster struct {
	node    fleet.NodeID
	members Members
	client  *http.Client
	clock   clockwork.Clock
	// pending holds failed deliveries until their retry.
	pending *ring.Ring[delivery]
}

// New returns the spreader of a node.
func New(node fleet.NodeID, members Members, client *http.Client, options ...Option) *Broadcaster {
	s := &Broadcaster{
		node:    node,
		members: members,
		client:  client,
		clock:   clockwork.NewRealClock(),
		pending: ring.New[delivery](capacity),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// ReportSuspects broadcasts that a backend server crashed with these identities in its slots.
// It returns when every call has succeeded, timed out or been cancelled by ctx; Run
// retries those that failed.
func (s *Broadcaster) ReportSuspects(ctx context.Context, backend fleet.BackendID, identities []string) {
	s.broadcast(ctx, &cowsliptallyv1.SuspectRequest{
		Node:       string(s.node),
		Backend:    string(backend),
		Identities: identities,
	})
}

// ClearSuspect broadcasts that a suspect request ran to completion.
func (s *Broadcaster) ClearSuspect(ctx context.Context, identity string) {
	s.broadcast(ctx, &cowsliptallyv1.SuspectRequest{Node: string(s.node), Cleared: []string{identity}})
}

// Run retries failed deliveries, each for a bounded time, until ctx is done.
func (s *Broadcaster) Run(ctx context.Context) error {
	ticker := s.clock.NewTicker(retryInterval)
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

func (s *Broadcaster) broadcast(ctx context.Context, message *cowsliptallyv1.SuspectRequest) {
	var deliveries []delivery
	for _, member := range s.members.Members() {
		if member.ID != s.node && member.IsLive() {
			deliveries = append(deliveries, delivery{member: member, message: message, since: s.clock.Now()})
		}
	}
	s.deliver(ctx, deliveries)
}

// retry makes the deliveries that were pending when it began, except expired ones.
func (s *Broadcaster) retry(ctx context.Context) {
	var due []delivery
	for range s.pending.Len() {
		next, found := s.pending.Pop(ctx)
		if !found {
			return
		}
		if s.clock.Since(next.since) < retryWindow {
			due = append(due, next)
		}
	}
	s.deliver(ctx, due)
}

// deliver calls the nodes, a bounded number at a time, and keeps failed deliveries for a retry.
func (s *Broadcaster) deliver(ctx context.Context, deliveries []delivery) {
	var group sync.WaitGroup
	calls := make(chan struct{}, maxCalls)
	for _, next := range deliveries {
		calls <- struct{}{}
		group.Go(func() {
			defer func() { <-calls }()
			if s.call(ctx, next) != nil {
				s.pending.Push(next)
			}
		})
	}
	group.Wait()
}

func (s *Broadcaster) call(ctx context.Context, d delivery) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := cowsliptallyv1connect.NewRequestServiceClient(s.client, "http://"+d.member.PeerAddress)
	_, err := client.Suspect(ctx, connect.NewRequest(d.message))
	return err
}
