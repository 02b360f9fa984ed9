package configurator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/translator"
)

// Configurator implements OperatorService at one node.
type Configurator struct {
	self       fleet.NodeID
	replicator Replicator
	peers      Peers
	clock      clockwork.Clock
}

// New returns the implementation of OperatorService for the node self.
func New(self fleet.NodeID, replicator Replicator, peers Peers, options ...Option) *Configurator {
	c := &Configurator{self: self, replicator: replicator, peers: peers, clock: clockwork.NewRealClock()}
	for _, option := range options {
		option(c)
	}
	return c
}

// Propose changes the configuration; a dry run only returns the result that the change
// would have. A refused change is a result, not an error. After an error with
// CodeUnavailable nothing has changed; after one with CodeUnknown the change may still
// take effect, and GetOperation returns its result under the identifier in
// OperationHeader.
func (c *Configurator) Propose(ctx context.Context, r *connect.Request[cowsliptallyv1.ProposeRequest]) (*connect.Response[cowsliptallyv1.ProposeResponse], error) {
	if r.Msg.GetProposal() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the request has no proposal"))
	}
	proposal, ok := proto.Clone(r.Msg.GetProposal()).(*cowsliptallyv1.Proposal)
	if !ok {
		return nil, connect.NewError(connect.CodeInternal, errors.New("the proposal cannot be copied"))
	}
	if err := c.complete(proposal); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	if r.Msg.GetDryRun() {
		verdict, _ := c.replicator.State().Evaluate(proposal)
		return connect.NewResponse(&cowsliptallyv1.ProposeResponse{Verdict: verdict}), nil
	}
	verdict, err := c.replicator.Propose(ctx, proposal)
	if err != nil {
		return nil, failed(proposal.GetOperation(), err)
	}
	return connect.NewResponse(&cowsliptallyv1.ProposeResponse{Verdict: verdict}), nil
}

// complete sets the operation identifier and the time if the proposal lacks them.
func (c *Configurator) complete(p *cowsliptallyv1.Proposal) error {
	if p.GetOperation() == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return err
		}
		p.Operation = id.String()
	}
	if p.GetTimeUnixNano() == 0 {
		p.TimeUnixNano = c.clock.Now().UnixNano()
	}
	return nil
}

// GetOperation returns the result of an earlier proposal.
func (c *Configurator) GetOperation(ctx context.Context, r *connect.Request[cowsliptallyv1.GetOperationRequest]) (*connect.Response[cowsliptallyv1.GetOperationResponse], error) {
	id := r.Msg.GetOperation()
	verdict, found, err := c.replicator.Lookup(ctx, id)
	if err != nil {
		return nil, failed(id, err)
	}
	if !found {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("operation %q is not in the log; proposing it again under the same identifier is safe", id))
	}
	return connect.NewResponse(&cowsliptallyv1.GetOperationResponse{Verdict: verdict}), nil
}

// GetConfiguration returns the configuration in force at this node.
func (c *Configurator) GetConfiguration(context.Context, *connect.Request[cowsliptallyv1.GetConfigurationRequest]) (*connect.Response[cowsliptallyv1.GetConfigurationResponse], error) {
	if !c.replicator.Ready() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this node does not know the newest configuration yet"))
	}
	message := translator.ConfigurationToMessage(c.replicator.State().Configuration())
	return connect.NewResponse(&cowsliptallyv1.GetConfigurationResponse{Configuration: message}), nil
}

// GetInForce returns the nodes that do not have a revision in force or could not be
// queried; revision 0 stands for the revision of this node.
func (c *Configurator) GetInForce(ctx context.Context, r *connect.Request[cowsliptallyv1.GetInForceRequest]) (*connect.Response[cowsliptallyv1.GetInForceResponse], error) {
	own := uint64(c.replicator.State().Configuration().Revision())
	revision := r.Msg.GetRevision()
	if revision == 0 {
		revision = own
	}
	nodes := c.peers.Revisions(ctx)
	nodes = append(nodes, &cowsliptallyv1.NodeRevision{Node: string(c.self), Revision: own})
	answer := &cowsliptallyv1.GetInForceResponse{Nodes: uint32(len(nodes))}
	for _, node := range nodes {
		if node.GetError() != "" || node.GetRevision() < revision {
			answer.Behind = append(answer.Behind, node)
		}
	}
	slices.SortFunc(answer.Behind, func(a, b *cowsliptallyv1.NodeRevision) int {
		return strings.Compare(a.GetNode(), b.GetNode())
	})
	answer.Everywhere = len(answer.Behind) == 0
	return connect.NewResponse(answer), nil
}

// GetHistory returns the accepted changes, newest first.
func (c *Configurator) GetHistory(_ context.Context, r *connect.Request[cowsliptallyv1.GetHistoryRequest]) (*connect.Response[cowsliptallyv1.GetHistoryResponse], error) {
	revisions := c.replicator.State().History(int(r.Msg.GetLimit()))
	return connect.NewResponse(&cowsliptallyv1.GetHistoryResponse{Revisions: revisions}), nil
}
