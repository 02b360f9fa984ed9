package dispatcher

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/verifier"
)

// minRetryTime is the least time left in which another attempt is taken to be in time: a round
// trip between zones and a short request.
const minRetryTime = 100 * time.Millisecond

// abandonSilent reports whether to abandon a request on a connection to the backend server
// without progress for a progress timeout. Silence alone is no reason, as a backend server that
// works sends nothing either: it takes evidence that a cut has silenced the connection.
func (a *attempt) abandonSilent(stall pooler.Stall) bool {
	if !stall.Reused {
		return false
	}
	d := a.dispatcher
	verdict := d.verifier.Check(context.Background(), a.backend.Address, stall.Opened)
	if verdict == verifier.Unreachable {
		return false
	}
	a.silent.Store(true)
	if verdict != verifier.Cut {
		return false
	}
	if !a.cut.Swap(true) {
		d.recorder.Record(fleet.NewEvent(fleet.EventStalled, string(a.backend.ID), string(fleet.ReasonStalled)).
			WithService(a.backend.Service))
	}
	return a.mayAbandon()
}

// mayAbandon reports whether another attempt is allowed and can still be in time.
func (a *attempt) mayAbandon() bool {
	if !a.call.idempotent || a.call.last || a.dispatcher.work.Closed(drainer.Attempts) {
		return false
	}
	left := a.call.deadline.Sub(a.dispatcher.clock.Now())
	return left > max(minRetryTime, a.gate.expected(a.call.kind))
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
