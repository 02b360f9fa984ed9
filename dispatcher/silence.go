package dispatcher

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
)

// silentFactor is the multiple of a kind's expected service time after which a request
// on a silent connection is abandoned.
const silentFactor = 5

// abandonSilent reports whether to abandon a request on a connection to the backend
// server without progress for the progress timeout. If a new connection is answered,
// later requests use new connections in place of the pooled ones. Only an
// idempotent request that usually takes much less time is abandoned; others keep waiting.
func (a *attempt) abandonSilent(_ int, reused bool) bool {
	d := a.dispatcher
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !reused || d.pooler.ProbeHTTP(ctx, a.backend.Address) != nil {
		return false
	}
	if !a.silent.Swap(true) {
		d.pooler.Renew(a.backend.Address)
		d.recorder.Record(fleet.NewEvent(fleet.EventStalled, string(a.backend.ID), string(fleet.ReasonStalled)).
			WithService(a.backend.Service))
	}
	expected := a.gate.expected(a.call.kind)
	return a.call.idempotent && expected > 0 && silentFactor*expected < DefaultProgressTimeout
}

// class classifies the result for the health evaluation. A timeout on a silent
// connection is no evidence against the backend server: it only shows that the request
// took at least that long.
func (a *attempt) class(r *result) fleet.Class {
	class := r.class()
	if class == fleet.ClassTimeout && a.silent.Load() {
		return fleet.ClassCancelled
	}
	return class
}
