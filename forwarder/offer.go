package forwarder

import (
	"context"
	"net/http"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pooler"
)

// offer has the owner reserve a slot for an attempt before the request is sent to it. It
// returns nil if the request is to be sent, else why not. A request that must run once would
// be lost at an owner that died or fell silent, while one that was only offered is proved
// not to have run and can go to another owner. Bodies are not sent to owners without a slot.
func (f *Forwarder) offer(ctx context.Context, s *submission, backend fleet.Backend, owner fleet.Member, number int, mode attemptMode) *result {
	if !f.offers(s, owner) {
		return nil
	}
	if ctx.Err() != nil {
		return refused(fleet.ContextReason(ctx), "the time limit passed before the attempt was offered")
	}
	_, refusal := f.sendOffer(ctx, s, backend, owner, number, mode)
	return refusal
}

// sendOffer offers an attempt to an owner. It returns why the attempt is not to be sent, or nil and
// whether the owner has reserved a slot.
func (f *Forwarder) sendOffer(ctx context.Context, s *submission, backend fleet.Backend, owner fleet.Member, number int, mode attemptMode) (reserved bool, refusal *result) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+owner.PeerAddress+dispatcher.OfferPath, nil)
	if err != nil {
		return false, refused(fleet.ReasonConnect, err.Error())
	}
	request.Header["User-Agent"] = nil
	f.describe(request.Header, s, backend, number)
	// An owner that cannot end the request before this node aborts it refuses the offer, with proof that it did not run.
	setTimeLeft(request.Header, f.latestAnswer(s).Sub(f.clock.Now()))
	mode.setHeader(request.Header)
	exchange, err := f.pooler.Send(ctx, pooler.Message{
		Address: owner.PeerAddress,
		Request: request,
		OnStall: func(pooler.Stall) bool { return true },
	})
	if err != nil {
		return false, f.unansweredOffer(ctx, owner, err)
	}
	f.markReachable(owner)
	return f.receivedOffer(ctx, s, backend, exchange)
}

// offers reports whether an attempt is offered before it is sent: one that must run once, and a trial run, which is sent
// to no other owner once it was sent to one that fell silent. Large bodies would keep the reserved slot empty while they
// are transferred.
func (f *Forwarder) offers(s *submission, owner fleet.Member) bool {
	return (!s.idempotent || s.trialNode != "") && owner.ID != f.node && len(s.content.Bytes()) <= maxNoWaitBody
}

// unansweredOffer returns the result of an offer without an answer. The request was not sent.
func (f *Forwarder) unansweredOffer(ctx context.Context, owner fleet.Member, err error) *result {
	reason := failureReason(ctx, err)
	if ctx.Err() == nil {
		f.backOff(owner, err.Error())
	}
	if reason == fleet.ReasonStalled {
		f.pooler.Renew(owner.PeerAddress)
		f.recorder.Record(fleet.NewEvent(fleet.EventStalled, string(owner.ID), string(reason)))
	}
	r := refused(reason, err.Error())
	r.notAttributed = true
	return r
}

// receivedOffer reports whether the owner reserved a slot, or returns its refusal. An owner that
// does not know offers does neither.
func (f *Forwarder) receivedOffer(ctx context.Context, s *submission, backend fleet.Backend, exchange *pooler.Exchange) (reserved bool, refusal *result) {
	header := exchange.Response.Header
	if exchange.Response.StatusCode == http.StatusNotFound && header.Get(fleet.HeaderRequestID) == "" {
		drain(exchange.Response.Body)
		exchange.Close()
		return false, nil
	}
	f.tickets.put(backend.Owner, header.Get(fleet.HeaderTicket))
	if header.Get(fleet.HeaderRequestID) != string(s.id) {
		exchange.Break()
		return false, refused(fleet.ReasonBroken, "the owner answered another offer")
	}
	f.report(backend, header)
	if fleet.Reason(header.Get(fleet.HeaderReason)) == fleet.ReasonOffered {
		drain(exchange.Response.Body)
		exchange.Close()
		return true, nil
	}
	f.recordSuspect(ctx, s, backend.Owner, header)
	r := f.refusedByOwner(backend.Owner, exchange, fleet.Executed(header.Get(fleet.HeaderExecuted)))
	r.outcome.Executed = fleet.ExecutedNo
	return false, r
}
