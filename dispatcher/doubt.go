package dispatcher

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
)

// unusual is how often a kind's usual time must have passed before a request on a
// silent connection is given up.
const unusual = 5

// doubt judges a connection to the backend server on which nothing moved for a
// progress timeout. When a fresh one is answered, the pooled ones are left. Only an
// idempotent request that is usually much faster is given up; others go on waiting.
func (a *attempt) doubt(_ int, reused bool) bool {
	d := a.dispatcher
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !reused || d.pooler.Ask(ctx, a.backend.Address) != nil {
		return false
	}
	if !a.doubted.Swap(true) {
		d.pooler.Renew(a.backend.Address)
		d.recorder.Record(fleet.NewEvent(fleet.EventSilent, string(a.backend.ID), string(fleet.ReasonSilent)).
			WithService(a.backend.Service))
	}
	usual := a.gate.usual(a.call.kind)
	return a.call.idempotent && usual > 0 && unusual*usual < DefaultProgress
}

// class says what the result tells of the backend server: a time-out on a doubted
// connection only tells that the request took at least so long.
func (a *attempt) class(r *result) fleet.Class {
	class := r.class()
	if class == fleet.ClassTimeout && a.doubted.Load() {
		return fleet.ClassCancelled
	}
	return class
}
