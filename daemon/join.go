package daemon

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/logclient"
	"cowsliptally.example/cowsliptally/prober"
	"cowsliptally.example/cowsliptally/publisher"
	"cowsliptally.example/cowsliptally/replicator"
)

// inFlight counts requests for the registrar, which is built before the dispatcher.
type inFlight struct{ d *Daemon }

// InFlight returns the number of requests that run on a backend server.
func (c inFlight) InFlight(id fleet.BackendID) int {
	return c.d.dispatcher.InFlight(id)
}

// progress connects the prober with the replicator or the adopter, which are built later.
type progress struct{ d *Daemon }

// Progress returns the revision in force and what was read for it.
func (p progress) Progress() fleet.Progress {
	if p.d.source != nil {
		return fleet.Progress{Revision: p.d.adopter.Document().Revision, LastRead: p.d.adopter.LastRead()}
	}
	state := p.d.replicator.State()
	return fleet.Progress{Revision: state.Configuration().Revision(), NextOffset: state.NextOffset()}
}

// RecordPeerProgress passes the progress of another node to the replicator or the adopter.
func (p progress) RecordPeerProgress(from fleet.Member, progress fleet.Progress) {
	if p.d.source != nil {
		p.d.adopter.RecordPeerRevision(from, progress.Revision)
		p.d.adopter.RecordPeerRead(progress.LastRead)
		return
	}
	p.d.replicator.ObservePeerOffset(progress.NextOffset)
}

// FetchState returns the replicated state, or nil when it covers no more than knownOffset.
func (p progress) FetchState(_ context.Context, knownOffset uint64) (*cowsliptallyv1.Checkpoint, error) {
	if p.d.source != nil {
		return nil, nil
	}
	state := p.d.replicator.State()
	if state.NextOffset() <= knownOffset {
		return nil, nil
	}
	return state.Checkpoint(), nil
}

// observer passes the results of attempts to the evaluator.
type observer struct{ *evaluator.Evaluator }

// AttemptStarted records the start of an attempt at a backend server; done records its end.
func (o observer) AttemptStarted(service fleet.ServiceName, id fleet.BackendID, kind fleet.RequestKind) (done func()) {
	attempt := o.StartAttempt(service, id, kind)
	return func() { o.EndAttempt(attempt) }
}

// LLR returns this node's evidence against a backend server in nats, or 0 without any.
func (o observer) LLR(id fleet.BackendID) float64 {
	evidence, _ := o.OwnEvidence(id)
	return evidence.LLR
}

// replicatedState reads what the fleet agreed on from the newest replicated state;
// without a log service nothing is agreed on.
type replicatedState struct{ d *Daemon }

// Ejected returns the accepted ejection of a backend server.
func (r replicatedState) Ejected(id fleet.BackendID) (*cowsliptallyv1.Ejection, bool) {
	if r.d.replicator == nil {
		return nil, false
	}
	return r.d.replicator.State().Ejected(id)
}

// Backend returns a joined backend server.
func (r replicatedState) Backend(id fleet.BackendID) (fleet.Backend, bool) {
	return r.d.replicator.State().Backend(id)
}

// stream is the log service: appends go through watermill's publisher.
type stream struct {
	*publisher.Publisher
	client *logclient.Client
}

// Read returns records from an offset on.
func (s stream) Read(ctx context.Context, name string, from uint64, wait time.Duration) (logclient.Batch, error) {
	return s.client.Read(ctx, name, from, wait)
}

// evidenceSender reports evidence to other nodes over HealthService.
type evidenceSender struct{ d *Daemon }

// Testify reports evidence to a node.
func (e evidenceSender) Testify(
	ctx context.Context, node fleet.NodeID, request *cowsliptallyv1.TestifyRequest,
) (*cowsliptallyv1.TestifyResponse, error) {
	member, found := e.d.roster.Member(node)
	if !found {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("node %q is not in the roster", node))
	}
	client := cowsliptallyv1connect.NewHealthServiceClient(e.d.client, "http://"+member.PeerAddress)
	response, err := client.Testify(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// peerService answers PeerService with the prober, and FetchState with the replicator.
type peerService struct {
	*prober.Prober
	replicator *replicator.Replicator
}

// FetchState returns the node's replicated state beyond an offset.
func (s peerService) FetchState(
	ctx context.Context, request *connect.Request[cowsliptallyv1.FetchStateRequest],
) (*connect.Response[cowsliptallyv1.FetchStateResponse], error) {
	return s.replicator.FetchState(ctx, request)
}
