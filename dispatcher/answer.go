package dispatcher

import (
	"net/http"
	"strconv"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/refuser"
)

// refuse answers an attempt that has no answer from its backend server.
func (d *Dispatcher) refuse(w http.ResponseWriter, c call, outcome fleet.Outcome, message string) {
	if outcome.Reason == fleet.ReasonDraining {
		d.declined.Add(1)
	}
	d.describe(w.Header(), c)
	d.stopping.setEnd(w.Header())
	d.describeSuspect(w.Header(), c.identity)
	refuser.Refuse(w, refuser.Refusal{
		Request:  c.request,
		Executed: outcome.Executed,
		Reason:   outcome.Reason,
		Message:  message,

		RetryAfter: outcome.RetryAfter,
	})
}

// describe sets the headers that every answer of an owner carries.
func (d *Dispatcher) describe(header http.Header, c call) {
	header.Set(fleet.HeaderRequestID, string(c.request))
	header.Set(fleet.HeaderBackend, string(c.backend))
	header.Set(fleet.HeaderTicket, d.sealer.Ticket())
	revision := d.configurations.Configuration().Revision()
	header.Set(fleet.HeaderRevision, strconv.FormatUint(uint64(revision), 10))
	if backend, found := d.localBackends.Backend(c.backend); found && backend.Left {
		header.Set(fleet.HeaderLeaving, "true")
	}
	g := d.existingGate(c.backend)
	if g == nil {
		return
	}
	running, waiting := g.load()
	header.Set(fleet.HeaderInFlight, strconv.Itoa(running))
	header.Set(fleet.HeaderQueued, strconv.Itoa(waiting))
	header.Set(fleet.HeaderSlots, strconv.Itoa(g.slotCount()))
	if limit, pause := g.describeLimit(); limit != "" {
		header.Set(fleet.HeaderLimit, limit)
		header.Set(fleet.HeaderPause, strconv.FormatInt(pause.Milliseconds(), 10))
	}
	if llr := d.observer.LLR(c.backend); llr > 0 {
		header.Set(fleet.HeaderEvidence, strconv.FormatFloat(llr, 'f', 1, 64))
	}
}
