package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/scrubber"
)

// maxTickets bounds how often an attempt is sent, as each refusal of a stale ticket
// returns a fresh one.
const maxTickets = 3

// attempt sends a submission to the owner of a backend server once.
func (f *Forwarder) attempt(ctx context.Context, s *submission, backend fleet.Backend, number int, mode attemptMode) *result {
	owner, found := f.directory.Member(backend.Owner)
	if !found {
		return refused(fleet.ReasonGone, "the owner of the backend server is not known")
	}
	f.picker.Begin(backend.ID)
	defer f.observer.AttemptStarted(s.service, backend.ID, s.kind)()
	start := f.clock.Now()
	var r *result
	defer func() { f.endAttempt(backend, r) }()
	if r = f.offer(ctx, s, backend, owner, number, mode); r == nil {
		r = f.sendWithTicket(ctx, s, backend, owner, number, mode)
	}
	r.noWaitRefused = mode == noWait && !r.reached && r.outcome.Executed == fleet.ExecutedNo && r.outcome.Reason == fleet.ReasonBusy
	r.ownerEndsFirst = !r.ownerEnd.IsZero() && r.ownerEnd.Before(f.latestAnswer(s))
	r.took = f.clock.Since(start)
	f.recordAbandoned(s, backend, number, r)
	f.observe(s, backend, r)
	return r
}

// endAttempt reports to the picker that an attempt is over, and whether it failed: a
// backend server that fails fast must not look idle.
func (f *Forwarder) endAttempt(backend fleet.Backend, r *result) {
	if r == nil || r.notAttributed {
		f.picker.End(backend.ID)
		return
	}
	switch r.class() {
	case fleet.ClassError, fleet.ClassBroken, fleet.ClassTimeout, fleet.ClassUnreachable:
		f.picker.Fail(backend.ID)
	default:
		f.picker.End(backend.ID)
	}
}

// sendWithTicket sends a submission, again if the owner refused its ticket.
func (f *Forwarder) sendWithTicket(ctx context.Context, s *submission, backend fleet.Backend, owner fleet.Member, number int, mode attemptMode) *result {
	var r *result
	for range maxTickets {
		r = f.send(ctx, s, backend, owner, number, mode)
		if r.outcome.Reason != fleet.ReasonTicket || len(r.hedges) > 0 {
			break
		}
	}
	return r
}

func (f *Forwarder) send(ctx context.Context, s *submission, backend fleet.Backend, owner fleet.Member, number int, mode attemptMode) *result {
	if ctx.Err() != nil {
		return refused(fleet.ContextReason(ctx), "the time limit passed before the request was sent")
	}
	d := f.newDelivery(s, owner, number)
	// The answer's body is read with this context, so it ends with that of the submission.
	sending, cancel := context.WithCancel(ctx)
	d.cancel = cancel
	r := f.exchange(ctx, sending, d, backend, mode)
	hedges := d.end()
	if d.superseded.Err() != nil {
		r.close()
		r = unknown(fleet.ReasonCancelled, "the hedge was answered before")
	}
	r.hedges = hedges
	return r
}

// exchange sends an attempt and returns its result. Its exchange with the owner ends with sending, and the calls about it with ctx.
func (f *Forwarder) exchange(ctx, sending context.Context, d *delivery, backend fleet.Backend, mode attemptMode) *result {
	s := d.submission
	request := f.outgoing(sending, s, backend, d.owner, d.number, d.ticket)
	mode.setHeader(request.Header)
	s.stage.begin(d)
	exchange, err := f.pooler.Send(sending, pooler.Message{
		Address:         d.owner.PeerAddress,
		Request:         request,
		Content:         s.content.Bytes(),
		OnConnection:    func() { d.connected.Store(true) },
		OnStall:         func(stall pooler.Stall) bool { return f.handleSilence(ctx, d, stall.Timeouts) },
		OnProgress:      func() bool { return f.handleProgress(ctx, d) },
		OnInformational: d.recordProgress,
	})
	switch {
	case err != nil && d.superseded.Err() != nil:
		return unknown(fleet.ReasonCancelled, err.Error())
	case err != nil:
		f.handleSendFailure(ctx, d.owner, err)
		return f.unanswered(ctx, d, exchange, err)
	}
	f.markReachable(d.owner)
	if answered := exchange.Response.Header.Get(fleet.HeaderRequestID); answered != string(s.id) {
		return f.misanswered(ctx, d, exchange, answered)
	}
	r := f.received(ctx, s, backend, exchange)
	if r.brokenInBody {
		r.outcome.Reason = f.plannedReason(d, r.outcome.Reason)
	}
	return r
}

// handleSendFailure puts a node into backoff if no connection to it could be made or
// nothing was received on its connection, unless the caller's deadline passed.
func (f *Forwarder) handleSendFailure(ctx context.Context, owner fleet.Member, err error) {
	kind := fault.KindOf[pooler.Kind](err)
	if ctx.Err() == nil && kind != pooler.KindBroken && kind != pooler.KindFull && kind != pooler.KindSuperseded {
		f.backOff(owner, err.Error())
	}
}

// outgoing returns the request to send to an owner.
func (f *Forwarder) outgoing(ctx context.Context, s *submission, backend fleet.Backend, owner fleet.Member, number int, ticket string) *http.Request {
	r := s.request.Clone(ctx)
	scrubber.RemoveConnectionHeaders(r.Header)
	scrubber.RemoveNodeHeaders(r.Header)
	if _, found := r.Header["User-Agent"]; !found {
		r.Header["User-Agent"] = nil
	}
	f.describe(r.Header, s, backend, number)
	r.Header.Set(fleet.HeaderTicket, ticket)
	r.Trailer = nil // its fields are not checked as those of the header are
	r.RequestURI = ""
	r.URL = s.locator.WithPrefix(dispatcher.PathPrefix).URL(owner.PeerAddress)
	return r
}

// describe sets the headers that describe an attempt to its owner.
func (f *Forwarder) describe(header http.Header, s *submission, backend fleet.Backend, number int) {
	now := f.clock.Now()
	header.Set(fleet.HeaderRequestID, string(s.id))
	header.Set(fleet.HeaderBackend, string(backend.ID))
	header.Set(fleet.HeaderAttempt, strconv.Itoa(number))
	header.Set(fleet.HeaderKind, string(s.kind))
	header.Del(fleet.HeaderOrganisation)
	if s.organisation != "" {
		header.Set(fleet.HeaderOrganisation, string(s.organisation))
	}
	header.Set(fleet.HeaderWeight, strconv.Itoa(s.weight))
	header.Set(fleet.HeaderIdempotent, strconv.FormatBool(s.idempotent))
	header.Set(fleet.HeaderIdentity, s.identity)
	header.Set(fleet.HeaderTrial, strconv.FormatBool(s.trialNode != ""))
	setTimeLeft(header, s.deadline.Sub(now))
	if latest := f.latestAnswer(s); latest.Before(s.deadline) {
		header.Set(fleet.HeaderAborts, strconv.FormatInt(max(1, latest.Sub(now).Milliseconds()), 10))
	}
	if !s.target.IsZero() {
		header.Set(fleet.HeaderTarget, strconv.FormatInt(s.target.Sub(now).Milliseconds(), 10))
	}
	if s.lastAttempt {
		header.Set(fleet.HeaderLastAttempt, "true")
	}
	if s.succession != nil {
		header.Set(fleet.HeaderFollows, "true")
	}
	if limit := f.picker.Limit(backend.ID); limit != "" {
		header.Set(fleet.HeaderLimit, limit)
	}
	if s.uncounted {
		header.Set(fleet.HeaderEarned, strconv.FormatInt(max(0, now.Sub(s.started).Milliseconds()), 10))
	}
	if s.retryCost > 0 {
		header.Set(fleet.HeaderRetryCost, strconv.FormatFloat(s.retryCost, 'f', -1, 64))
	}
}

// setTimeLeft sets the time limit of an attempt.
func setTimeLeft(header http.Header, left time.Duration) {
	header.Set(fleet.HeaderTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))
}

// received checks the header of an owner's answer and buffers its body.
func (f *Forwarder) received(ctx context.Context, s *submission, backend fleet.Backend, exchange *pooler.Exchange) *result {
	response := exchange.Response
	header := response.Header
	f.tickets.put(backend.Owner, header.Get(fleet.HeaderTicket))
	f.report(backend, header)
	if executed := fleet.Executed(header.Get(fleet.HeaderExecuted)); executed != fleet.ExecutedYes {
		f.recordSuspect(ctx, s, backend.Owner, header)
		return f.refusedByOwner(backend.Owner, exchange, executed)
	}
	content, whole, err := f.answers.CollectPart(response.Body, exchange.BodyLength())
	if err != nil {
		exchange.Close()
		if ctx.Err() != nil {
			return unknown(fleet.ContextReason(ctx), err.Error())
		}
		r := unknown(fleet.ReasonBroken, err.Error())
		r.brokenInBody = true
		return r
	}
	r := &result{
		outcome:  fleet.Outcome{Executed: fleet.ExecutedYes},
		exchange: exchange,
		content:  content,
		whole:    whole,
	}
	if microseconds, err := strconv.ParseInt(header.Get(fleet.HeaderServiceTime), 10, 64); err == nil {
		r.serviceTime = time.Duration(microseconds) * time.Microsecond
	}
	if whole && !sameLength(header, s.request.Method, content.Bytes()) {
		r.close()
		return unknown(fleet.ReasonBroken, "the answer's length is not the announced one")
	}
	return r
}

// report passes the load in an answer's header to the picker, the evidence to the
// observer, and a departure to the other nodes.
func (f *Forwarder) report(backend fleet.Backend, header http.Header) {
	if header.Get(fleet.HeaderLeaving) == "true" {
		f.departures.ReportLeaving(backend.ID)
	}
	inFlight, err := strconv.Atoi(header.Get(fleet.HeaderInFlight))
	if err != nil {
		return
	}
	queued, err := strconv.Atoi(header.Get(fleet.HeaderQueued))
	if err != nil {
		return
	}
	slots, err := strconv.Atoi(header.Get(fleet.HeaderSlots))
	if err != nil {
		return
	}
	if evidence, err := strconv.ParseFloat(header.Get(fleet.HeaderEvidence), 64); err == nil {
		f.observer.ApplyOwnerEvidence(backend.Service, backend.ID, evidence)
	}
	pause, err := strconv.ParseInt(header.Get(fleet.HeaderPause), 10, 32)
	if err != nil {
		pause = 0
	}
	f.picker.Report(fleet.Load{
		Backend:  backend.ID,
		InFlight: inFlight,
		Queued:   queued,
		Slots:    slots,
		Limit:    header.Get(fleet.HeaderLimit),
		Pause:    time.Duration(pause) * time.Millisecond,
		At:       f.clock.Now(),
	})
}

// observe passes the result to the health evaluation, unless it is not attributed to the
// backend server.
func (f *Forwarder) observe(s *submission, backend fleet.Backend, r *result) {
	if r.notAttributed {
		return
	}
	f.observer.Observe(fleet.Sample{
		At:          f.clock.Now(),
		Service:     s.service,
		Backend:     backend.ID,
		Kind:        s.kind,
		Class:       r.class(),
		ServiceTime: r.serviceTime,
		PathTime:    max(r.took, 1),
	})
}
