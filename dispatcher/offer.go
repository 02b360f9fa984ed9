package dispatcher

import (
	"context"
	"net/http"
	"time"

	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/fleet"
)

// OfferPath is the path at which an owner is offered an attempt before it is sent.
const OfferPath = "/offer"

// reservationTime is how long a slot stays reserved for an attempt that was accepted: many
// times the round trip between nodes, also if one of them pauses for a moment.
const reservationTime = 500 * time.Millisecond

// attemptKey identifies an attempt.
type attemptKey struct {
	request fleet.RequestID
	backend fleet.BackendID
	attempt int
}

// reservation is a slot that is reserved for an attempt.
type reservation struct {
	gate *gate
	id   admitter.ID
	kind fleet.RequestKind
}

// release frees the slot.
func (r reservation) release() { r.gate.leave(r.id, r.kind, 0) }

// key returns the key of a call's attempt.
func (c call) key() attemptKey {
	return attemptKey{request: c.request, backend: c.backend, attempt: c.attempt}
}

// ServeOffer answers an ingress that offers an attempt. It waits for a slot as the attempt
// itself would, and reserves it. Nothing runs before the attempt is sent, so an ingress that
// gets no answer may go to another owner.
func (d *Dispatcher) ServeOffer(w http.ResponseWriter, r *http.Request) {
	c, err := parseCall(r.Header, d.clock.Now())
	if err != nil {
		d.refuse(w, c, refused(fleet.ReasonBadRequest), err.Error())
		return
	}
	if !d.work.Enter(drainer.Offers) {
		d.refuse(w, c, refused(fleet.ReasonDraining), "the node shuts down")
		return
	}
	defer d.work.Leave(drainer.Offers)
	backend, g, reason := d.accepts(c)
	if reason != "" {
		d.refuse(w, c, refused(reason), "the backend server takes no work")
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	beats := d.startHeartbeat(w)
	a := &attempt{dispatcher: d, call: c, backend: backend, gate: g, request: r}
	outcome := a.reserve(ctx)
	beats.stop()
	d.refuse(w, c, outcome, "the attempt was only offered")
}

// reserve reserves a slot and refuses with ReasonOffered, or with the reason why there is none.
func (a *attempt) reserve(ctx context.Context) fleet.Outcome {
	id, outcome := a.gate.wait(ctx, a.call, func() {})
	if outcome.Reason != "" {
		return outcome
	}
	held := reservation{gate: a.gate, id: id, kind: a.call.kind}
	reason := a.stillAccepted(ctx)
	if reason == "" && !a.chargeRetry() {
		reason = fleet.ReasonBudget
	}
	if reason != "" {
		held.release()
		return refused(reason)
	}
	a.dispatcher.reservations.Reserve(a.call.key(), held)
	return refused(fleet.ReasonOffered)
}

// claim takes the slot that is reserved for the attempt, if there is one. Its retry was
// charged with the reservation.
func (a *attempt) claim() (admitter.ID, bool) {
	held, found := a.dispatcher.reservations.Claim(a.call.key())
	if !found {
		return 0, false
	}
	a.call.retryCost = 0
	held.gate.occupy(held.id, a)
	return held.id, true
}
