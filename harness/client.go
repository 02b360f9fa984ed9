package harness

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
)

// OperatorClient returns a client of a node's OperatorService.
func (h *Harness) OperatorClient(vm *VM) cowsliptallyv1connect.OperatorServiceClient {
	return cowsliptallyv1connect.NewOperatorServiceClient(h.client, "http://"+vm.PeerAddress)
}

// JournalClient returns a client of a node's JournalService.
func (h *Harness) JournalClient(vm *VM) cowsliptallyv1connect.JournalServiceClient {
	return cowsliptallyv1connect.NewJournalServiceClient(h.client, "http://"+vm.PeerAddress)
}

// Propose sends changes to a node, based on the revision that is in force there.
func (h *Harness) Propose(ctx context.Context, vm *VM, changes ...*cowsliptallyv1.Change) (*cowsliptallyv1.Verdict, error) {
	client := h.OperatorClient(vm)
	current, err := client.GetConfiguration(ctx, connect.NewRequest(&cowsliptallyv1.GetConfigurationRequest{}))
	if err != nil {
		return nil, err
	}
	proposal := &cowsliptallyv1.Proposal{
		Operation:    uuid.Must(uuid.NewV7()).String(),
		BaseRevision: current.Msg.GetConfiguration().GetRevision(),
		Author:       "harness",
		Changes:      changes,
		TimeUnixNano: time.Now().UnixNano(),
	}
	response, err := client.Propose(ctx, connect.NewRequest(&cowsliptallyv1.ProposeRequest{Proposal: proposal}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetVerdict(), nil
}

// Status returns a node's view of the fleet.
func (h *Harness) Status(vm *VM) (*cowsliptallyv1.GetStatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := h.JournalClient(vm).GetStatus(ctx, connect.NewRequest(&cowsliptallyv1.GetStatusRequest{}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// AwaitConfigured waits until a node has a configuration in force.
func (h *Harness) AwaitConfigured(vm *VM, timeout time.Duration) error {
	return h.Await(vm.NodeName()+" has a configuration", timeout, func() bool {
		status, err := h.Status(vm)
		return err == nil && status.GetRevision() > 0
	})
}

// AwaitReady waits until every running node has at least the given revision in
// force and lists exactly the given number of ready or starting backend servers.
func (h *Harness) AwaitReady(revision uint64, backends int, timeout time.Duration) error {
	var reason string
	err := h.Await("every node is ready", timeout, func() bool {
		for _, vm := range h.VMs() {
			if vm.Node.HasEnded() {
				continue
			}
			if reason = h.notReadyReason(vm, revision, backends); reason != "" {
				return false
			}
		}
		return true
	})
	if err != nil {
		return newError("await ready", KindTimeout, "%w: %s", err, reason)
	}
	return nil
}
