package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/ring"
)

const (
	// suspectCapacity is the number of crash reports that wait to be sent.
	suspectCapacity = 256
	// suspectCalls is the number of calls to other nodes at a time.
	suspectCalls = 32
)

func errUnknownNode(node fleet.NodeID) error {
	return fmt.Errorf("node %q is not in the roster", node)
}

// suspects tells all other nodes which requests may crash backend servers.
type suspects struct {
	daemon  *Daemon
	reports *ring.Ring[*cowsliptallyv1.SuspectRequest]
	crashes atomic.Uint64
}

func newSuspects(d *Daemon) *suspects {
	return &suspects{daemon: d, reports: ring.New[*cowsliptallyv1.SuspectRequest](suspectCapacity)}
}

// Report tells that a backend server died with these identities in its slots.
func (s *suspects) Report(_ context.Context, backend fleet.BackendID, identities []string) {
	s.push(&cowsliptallyv1.SuspectRequest{
		Backend:    string(backend),
		Identities: identities,
		Crash:      s.crashes.Add(1),
		Node:       string(s.daemon.self.ID),
	})
}

// Clear tells that a suspect ran to its end.
func (s *suspects) Clear(_ context.Context, identity string) {
	s.push(&cowsliptallyv1.SuspectRequest{Node: string(s.daemon.self.ID), Cleared: []string{identity}})
}

func (s *suspects) push(report *cowsliptallyv1.SuspectRequest) {
	if !s.reports.Push(report) {
		s.daemon.logger.Warn("suspects", "dropped", s.reports.Dropped(), "backend", report.GetBackend())
	}
}

// Run sends reports until ctx is done.
func (s *suspects) Run(ctx context.Context) error {
	for {
		report, ok := s.reports.Pop(ctx)
		if !ok {
			return nil
		}
		s.send(ctx, report)
	}
}

// send tells every other live node, a bounded number at a time.
func (s *suspects) send(ctx context.Context, report *cowsliptallyv1.SuspectRequest) {
	var calls sync.WaitGroup
	free := make(chan struct{}, suspectCalls)
	for _, member := range s.daemon.roster.Members() {
		if member.ID == s.daemon.self.ID || member.State != fleet.MemberAlive {
			continue
		}
		free <- struct{}{}
		calls.Go(func() {
			defer func() { <-free }()
			s.call(ctx, member, report)
		})
	}
	calls.Wait()
}

func (s *suspects) call(ctx context.Context, member fleet.Member, report *cowsliptallyv1.SuspectRequest) {
	client := cowsliptallyv1connect.NewRequestServiceClient(s.daemon.client, "http://"+member.PeerAddress)
	if _, err := client.Suspect(ctx, connect.NewRequest(report)); err != nil {
		s.daemon.logger.Warn("suspects", "to", member.ID, "err", err)
	}
}
