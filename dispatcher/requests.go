package dispatcher

import (
	"context"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/sealer"
)

// Seal ensures that an attempt not yet dispatched never will be.
func (d *Dispatcher) Seal(_ context.Context, r *connect.Request[cowsliptallyv1.SealRequest]) (*connect.Response[cowsliptallyv1.SealResponse], error) {
	sealed := d.sealer.Seal(sealer.Attempt{
		Request: fleet.RequestID(r.Msg.GetRequest()),
		Number:  int(r.Msg.GetAttempt()),
		Ticket:  r.Msg.GetTicket(),
	})
	if sealed {
		d.recorder.Record(fleet.NewEvent(fleet.EventSealed, r.Msg.GetRequest(), string(fleet.ReasonSealed)))
	}
	return connect.NewResponse(&cowsliptallyv1.SealResponse{Sealed: sealed}), nil
}

// Grant grants an idempotency key, or the trial request of a suspect, once.
func (d *Dispatcher) Grant(_ context.Context, r *connect.Request[cowsliptallyv1.GrantRequest]) (*connect.Response[cowsliptallyv1.GrantResponse], error) {
	if identity, trial := trialIdentity(r.Msg.GetService(), r.Msg.GetKey()); trial {
		granted := d.quarantiner.PermitTrial(d.node, identity)
		return connect.NewResponse(&cowsliptallyv1.GrantResponse{Granted: granted}), nil
	}
	decision := d.deduplicator.Grant(fleet.ServiceName(r.Msg.GetService()), r.Msg.GetKey(), r.Msg.GetRequest())
	response := &cowsliptallyv1.GrantResponse{Granted: decision.Granted, Reason: string(decision.Reason)}
	return connect.NewResponse(response), nil
}

// Release revokes the grant of a key.
func (d *Dispatcher) Release(_ context.Context, r *connect.Request[cowsliptallyv1.ReleaseRequest]) (*connect.Response[cowsliptallyv1.ReleaseResponse], error) {
	if identity, trial := trialIdentity(r.Msg.GetService(), r.Msg.GetKey()); trial {
		d.quarantiner.RevokeTrial(identity)
		return connect.NewResponse(&cowsliptallyv1.ReleaseResponse{}), nil
	}
	d.deduplicator.Release(fleet.ServiceName(r.Msg.GetService()), r.Msg.GetKey(), r.Msg.GetRequest())
	return connect.NewResponse(&cowsliptallyv1.ReleaseResponse{}), nil
}

// Suspect records another node's report of a crash.
func (d *Dispatcher) Suspect(_ context.Context, r *connect.Request[cowsliptallyv1.SuspectRequest]) (*connect.Response[cowsliptallyv1.SuspectResponse], error) {
	d.recordCrash(fleet.NodeID(r.Msg.GetNode()), fleet.BackendID(r.Msg.GetBackend()), r.Msg.GetIdentities())
	for _, identity := range r.Msg.GetCleared() {
		d.quarantiner.Clear(identity)
	}
	return connect.NewResponse(&cowsliptallyv1.SuspectResponse{}), nil
}

// reportCrash records a crash of a backend server of this VM and reports it to the other
// nodes.
func (d *Dispatcher) reportCrash(backend fleet.Backend, identities []string) {
	d.recorder.Record(fleet.NewEvent(fleet.EventCrash, string(backend.ID), string(fleet.ReasonCrash),
		fleet.Figure{Name: "suspects", Value: float64(len(identities))}).WithService(backend.Service))
	d.recordCrash(d.node, backend.ID, identities)
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	d.suspectReporter.ReportSuspects(ctx, backend.ID, identities)
}

// recordCrash records a crash, and an event for each identity that became poison by it.
func (d *Dispatcher) recordCrash(reporter fleet.NodeID, backend fleet.BackendID, identities []string) {
	for _, identity := range d.quarantiner.RecordCrash(reporter, backend, identities) {
		d.recorder.Record(fleet.NewEvent(fleet.EventPoison, identity, string(fleet.ReasonPoison)))
	}
}
