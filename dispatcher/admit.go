package dispatcher

import (
	"context"

	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/sealer"
)

// admit gets a slot for the attempt and counts it as dispatched, or returns the reason for
// its refusal.
func (a *attempt) admit(ctx context.Context, beats *heartbeat) (admitter.ID, fleet.Outcome) {
	id, claimed := a.claim()
	if !claimed {
		var outcome fleet.Outcome
		if id, outcome = a.gate.enter(ctx, a, beats.announceWaiting); outcome.Reason != "" {
			return id, outcome
		}
	}
	outcome := a.begin(ctx, beats)
	if outcome.Reason != "" {
		a.gate.leave(id, a.call.kind, 0)
	}
	return id, outcome
}

// begin repeats the checks whose result may have changed while the attempt waited, then
// announces it and counts it as dispatched.
func (a *attempt) begin(ctx context.Context, beats *heartbeat) fleet.Outcome {
	if reason := a.stillAccepted(ctx); reason != "" {
		return refused(reason)
	}
	beats.announceDispatch()
	if ctx.Err() != nil { // also if the announcement could not be written
		return refused(fleet.ContextReason(ctx))
	}
	if !a.chargeRetry() {
		return refused(fleet.ReasonBudget)
	}
	switch a.dispatcher.sealer.Begin(a.call.sealerAttempt()) {
	case sealer.Begun:
		a.countRequest()
		return fleet.Outcome{}
	case sealer.Sealed:
		return refused(fleet.ReasonSealed)
	case sealer.Duplicate:
		return unknown(fleet.ReasonDuplicate)
	default:
		return refused(fleet.ReasonTicket)
	}
}

// stillAccepted returns the reason for which the attempt must not be dispatched any more.
func (a *attempt) stillAccepted(ctx context.Context) fleet.Reason {
	if ctx.Err() != nil {
		return fleet.ContextReason(ctx)
	}
	if _, reason := a.dispatcher.available(a.call); reason != "" {
		return reason
	}
	if reason := a.dispatcher.suspectReason(a.call); reason != "" {
		return reason
	}
	if a.gate.rejects(a.call) {
		return fleet.ReasonFailing
	}
	return ""
}

// countRequest counts the request for the retry budget, if its ingress has not.
func (a *attempt) countRequest() {
	if !a.call.received.IsZero() {
		a.dispatcher.retryBudget.RecordRequest(a.backend.Service, a.dispatcher.clock.Since(a.call.received))
	}
}

// chargeRetry charges the attempt to the retry budget, if it is a retry that its ingress
// could not charge, and reports whether the budget covers it.
func (a *attempt) chargeRetry() bool {
	return a.call.retryCost == 0 || a.dispatcher.retryBudget.ChargeRetry(a.backend.Service, a.call.retryCost)
}
