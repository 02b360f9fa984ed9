package dispatcher

import (
	"context"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/sealer"
	"cowsliptally.example/cowsliptally/translator"
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
		return connect.NewResponse(d.grantTrial(identity, r.Msg)), nil
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

// Suspect merges another node's report of a crash or of a request that ran to its end, and returns what this
// node knows of the same requests.
func (d *Dispatcher) Suspect(_ context.Context, r *connect.Request[cowsliptallyv1.SuspectRequest]) (*connect.Response[cowsliptallyv1.SuspectResponse], error) {
	response := &cowsliptallyv1.SuspectResponse{}
	if len(r.Msg.GetRecords()) == 0 {
		d.quarantiner.RecordReport(fleet.BackendID(r.Msg.GetBackend()), r.Msg.GetIdentities())
		for _, identity := range r.Msg.GetCleared() {
			d.quarantiner.Clear(identity)
		}
		return connect.NewResponse(response), nil
	}
	now := d.clock.Now()
	d.quarantiner.Merge(translator.QuarantineRecordsFromMessages(r.Msg.GetRecords(), now)...)
	for _, told := range r.Msg.GetRecords() {
		response.Records = append(response.Records, translator.QuarantineRecordToMessage(d.quarantiner.Record(told.GetIdentity()), now))
	}
	return connect.NewResponse(response), nil
}

// reportCrash records a crash of a backend server of this VM with these attempts in its slots, and reports it to
// the other nodes.
func (d *Dispatcher) reportCrash(backend fleet.Backend, attempts []*attempt) {
	var identities, trials []string
	for _, a := range attempts {
		identities = append(identities, a.call.identity)
		if a.call.trial {
			trials = append(trials, a.call.identity)
		}
	}
	records := d.quarantiner.RecordCrash(backend.ID, identities, trials)
	d.recorder.Record(fleet.NewEvent(fleet.EventCrash, string(backend.ID), string(fleet.ReasonCrash),
		fleet.Figure{Name: "suspects", Value: float64(len(records))},
		fleet.Figure{Name: "trials", Value: float64(len(trials))}).WithService(backend.Service))
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	d.suspectReporter.ReportSuspects(ctx, backend.ID, records)
}
