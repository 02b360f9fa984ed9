// Package broadcaster broadcasts to the other nodes which requests may crash backend servers.
package broadcaster

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/quarantiner"
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

// New returns the broadcaster of a node.
func New(node fleet.NodeID, members Members, client *http.Client, options ...Option) *Broadcaster {
	b := &Broadcaster{
		node:    node,
		members: members,
		client:  client,
		clock:   clockwork.NewRealClock(),
		pending: ring.New[delivery](capacity),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// ReportSuspects broadcasts that a backend server crashed with requests in its slots, with all that this node
// knows of them. It returns when every call has succeeded, timed out or been cancelled by ctx; Run
// retries those that failed.
func (b *Broadcaster) ReportSuspects(ctx context.Context, backend fleet.BackendID, records []quarantiner.Record) {
	b.broadcast(ctx, report{backend: backend, records: records})
}

// ClearSuspect broadcasts that a suspect request ran to completion.
func (b *Broadcaster) ClearSuspect(ctx context.Context, record quarantiner.Record) {
	b.broadcast(ctx, report{records: []quarantiner.Record{record}, cleared: true})
}

// Run retries failed deliveries, each for a bounded time, until ctx is done.
func (b *Broadcaster) Run(ctx context.Context) error {
	ticker := b.clock.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			b.retry(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *Broadcaster) broadcast(ctx context.Context, r report) {
	var deliveries []delivery
	for _, member := range b.members.Members() {
		if member.ID != b.node && member.IsLive() {
			deliveries = append(deliveries, delivery{member: member, report: r, since: b.clock.Now()})
		}
	}
	b.deliver(ctx, deliveries)
}

// retry makes the deliveries that were pending when it began, except expired ones.
func (b *Broadcaster) retry(ctx context.Context) {
	var due []delivery
	for range b.pending.Len() {
		next, found := b.pending.Pop(ctx)
		if !found {
			return
		}
		if b.clock.Since(next.since) < retryWindow {
			due = append(due, next)
		}
	}
	b.deliver(ctx, due)
}

// deliver calls the nodes, a bounded number at a time, and keeps failed deliveries for a retry.
func (b *Broadcaster) deliver(ctx context.Context, deliveries []delivery) {
	var group sync.WaitGroup
	calls := make(chan struct{}, maxCalls)
	for _, next := range deliveries {
		calls <- struct{}{}
		group.Go(func() {
			defer func() { <-calls }()
			if b.call(ctx, next) != nil {
				b.pending.Push(next)
			}
		})
	}
	group.Wait()
}

func (b *Broadcaster) call(ctx context.Context, d delivery) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := cowsliptallyv1connect.NewRequestServiceClient(b.client, "http://"+d.member.PeerAddress)
	_, err := client.Suspect(ctx, connect.NewRequest(d.report.message(b.node, b.clock.Now())))
	return err
}
