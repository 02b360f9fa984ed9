package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/locator"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/scrubber"
)

// maxRecordedMessage bounds the message in an event, in bytes: a backend server may choose a part
// of it.
const maxRecordedMessage = 160

// attempt is one attempt that the owner handles.
type attempt struct {
	dispatcher *Dispatcher
	call       call
	backend    fleet.Backend
	gate       *gate
	request    *http.Request
	content    []byte
	// silent is set when the connection, not the backend server, may be at fault, and cut when
	// it is.
	silent, cut atomic.Bool
	// began is when the request was sent to the backend server; nil before.
	began atomic.Pointer[time.Time]
	// keep keeps the attempt from being handed back.
	keep func() bool
}

// serve waits for a slot, dispatches the attempt and answers it.
func (a *attempt) serve(ctx context.Context, w http.ResponseWriter) {
	d := a.dispatcher
	beats := d.startHeartbeat(w)
	arrived := d.clock.Now()
	id, outcome := a.admit(ctx, beats)
	if outcome.Reason != "" {
		beats.stop()
		if !a.call.noWait {
			waited := fleet.Milliseconds("waited", d.clock.Since(arrived))
			a.record(string(outcome.Reason), "", append([]fleet.Figure{waited}, a.stoppingFigures(outcome.Reason)...)...)
		}
		d.refuse(w, a.call, outcome, "the request was stopped before it was dispatched")
		return
	}
	began := d.clock.Now()
	a.began.Store(&began)
	a.gate.start(id, a.call.kind)
	result, took := a.runObserved(ctx)
	a.finish(id, result, took)
	beats.stop()
	defer result.close()
	if result.outcome.Executed != fleet.ExecutedYes {
		a.gate.leave(id, a.call.kind, 0)
		if result.reached {
			w.Header().Set(fleet.HeaderReachedBackend, "true")
		}
		d.refuse(w, a.call, result.outcome, result.message)
		return
	}
	a.keep() // the ingress may pass on a part of the answer, and no other attempt can follow then
	d.clear(a.call.identity)
	if result.complete {
		a.gate.leave(id, a.call.kind, max(took, 1))
	} else {
		defer a.gate.leave(id, a.call.kind, 0)
	}
	a.answer(w, result, took)
}

// finish records how the attempt ended in the failure estimate, and in an event unless it
// succeeded.
func (a *attempt) finish(id admitter.ID, r *result, took time.Duration) {
	class := a.class(r)
	failing, changed := a.gate.finish(id, class)
	probability := fleet.Figure{Name: "failing", Value: failing}
	if class != fleet.ClassOK {
		reason := string(r.outcome.Reason)
		if r.outcome.Executed == fleet.ExecutedYes {
			reason = strconv.Itoa(r.exchange.Response.StatusCode)
		}
		figures := append([]fleet.Figure{fleet.Milliseconds("took", took), probability}, a.stoppingFigures(r.outcome.Reason)...)
		a.record(reason, r.message, figures...)
	}
	if changed != "" {
		event := fleet.NewEvent(fleet.EventFailing, string(a.backend.ID), changed, probability)
		a.dispatcher.recorder.Record(event.WithService(a.backend.Service).WithDetail("after request " + string(a.call.request)))
	}
}

// record records an event of this attempt. The message tells failures with one reason apart.
func (a *attempt) record(reason, message string, figures ...fleet.Figure) {
	figures = append([]fleet.Figure{{Name: "attempt", Value: float64(a.call.attempt)}}, figures...)
	event := fleet.NewEvent(fleet.EventAttempt, string(a.call.request), reason, figures...)
	detail := "at " + string(a.backend.ID)
	if message != "" {
		detail += ": " + message[:min(len(message), maxRecordedMessage)]
	}
	a.dispatcher.recorder.Record(event.WithService(a.backend.Service).WithDetail(detail))
}

// runObserved runs the attempt and reports it to the health evaluation.
func (a *attempt) runObserved(ctx context.Context) (*result, time.Duration) {
	done := a.dispatcher.observer.AttemptStarted(a.backend.Service, a.backend.ID, a.call.kind)
	defer done()
	start := a.dispatcher.clock.Now()
	result := a.run(ctx)
	took := a.dispatcher.clock.Since(start)
	a.observe(result, took)
	return result, took
}

// run sends the request to the backend server and buffers its answer up to the bound.
func (a *attempt) run(ctx context.Context) *result {
	exchange, err := a.send(ctx)
	if err != nil && exchange.Dropped && a.call.repeatable() && ctx.Err() == nil {
		exchange, err = a.send(ctx)
	}
	if err != nil {
		return a.failed(ctx, exchange, err)
	}
	response := exchange.Response
	if err := a.dispatcher.dialect.TranslateAnswer(response); err != nil {
		exchange.Break()
		return &result{outcome: unknown(fleet.ReasonBroken), message: err.Error()}
	}
	if echoed := response.Header.Get(fleet.HeaderRequestID); !a.own(echoed, exchange) {
		exchange.Break()
		message := fmt.Sprintf("the backend server answered request %q", echoed)
		return &result{outcome: unknown(fleet.ReasonBroken), message: message}
	}
	a.readLimit(response.Header)
	if response.Header.Get(fleet.HeaderLeaving) == "true" {
		a.dispatcher.localBackends.ReportLeaving(a.backend.ID)
	}
	if shed(response) {
		exchange.Refused()
		reason := fleet.Reason(cmp.Or(response.Header.Get(fleet.HeaderReason), string(fleet.ReasonBusy)))
		return &result{outcome: refused(reason), message: "the backend server refused the request", reached: true}
	}
	if !exchange.IsDelimited() && !a.dispatcher.undelimited {
		exchange.Break()
		return &result{outcome: unknown(fleet.ReasonBroken), message: "the answer's length is not told"}
	}
	if exchange.Reused && !response.Close {
		a.dispatcher.verifier.Answered(a.backend.Address, exchange.Opened)
	}
	content, complete, err := a.dispatcher.answers.CollectPart(response.Body, exchange.BodyLength())
	if err != nil {
		exchange.Break()
		return a.lost(ctx, err)
	}
	return &result{
		outcome:  fleet.Outcome{Executed: fleet.ExecutedYes},
		exchange: exchange,
		content:  content,
		complete: complete,
	}
}

// own reports whether an answer with this identifier belongs to the attempt. One without an
// identifier may be a late answer to an earlier request on the same connection.
func (a *attempt) own(echoed string, exchange *pooler.Exchange) bool {
	if echoed == "" {
		return !a.dispatcher.requireEcho || !exchange.Reused
	}
	return echoed == string(a.call.request)
}

// echoHeader returns the header in which all backend servers repeat the identifier of a request, or
// nothing if some do not.
func (d *Dispatcher) echoHeader() string {
	if !d.requireEcho {
		return ""
	}
	return d.dialect.EchoHeader()
}

// outgoing returns the request for the backend server.
func (a *attempt) outgoing(ctx context.Context) *http.Request {
	r := a.request.Clone(ctx)
	scrubber.RemoveConnectionHeaders(r.Header)
	scrubber.RemoveNodeHeaders(r.Header)
	if _, found := r.Header["User-Agent"]; !found {
		r.Header["User-Agent"] = nil
	}
	remaining := a.call.deadline.Sub(a.dispatcher.clock.Now())
	a.dispatcher.dialect.TranslateRequest(r.Header, a.backend, a.call.attempt, remaining)
	r.Trailer = nil // a node of an earlier build sends on a caller's
	r.RequestURI = ""
	r.URL = locator.Of(a.request).WithoutPrefix(PathPrefix).URL(a.backend.Address)
	return r
}

// failed returns the result of an attempt whose exchange ended without an answer.
func (a *attempt) failed(ctx context.Context, exchange *pooler.Exchange, err error) *result {
	if exchange.Sent {
		return a.lost(ctx, err)
	}
	a.dispatcher.sealer.Undo(a.call.sealerAttempt())
	reason := fleet.ReasonConnect
	switch {
	case ctx.Err() != nil:
		reason = fleet.ContextReason(ctx)
	case errors.Is(err, syscall.ECONNREFUSED):
		a.dispatcher.localBackends.ReportCrash(a.backend.ID)
	}
	return &result{outcome: refused(reason), message: err.Error()}
}

// lost returns the result of an attempt that was sent to the backend server but got no
// complete answer.
func (a *attempt) lost(ctx context.Context, err error) *result {
	if ctx.Err() != nil {
		return &result{outcome: unknown(fleet.ContextReason(ctx)), message: "the time limit passed or the caller left"}
	}
	if fault.KindOf[pooler.Kind](err) == pooler.KindSilent {
		return &result{outcome: unknown(fleet.ReasonStalled), message: err.Error()}
	}
	if !a.crashed() {
		return &result{outcome: unknown(fleet.ReasonBroken), message: err.Error()}
	}
	return &result{outcome: unknown(fleet.ReasonCrash), message: "the backend server died"}
}

// crashed reports whether the backend server crashed. If so, the requests in its slots are
// reported as suspects.
func (a *attempt) crashed() bool {
	d := a.dispatcher
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !a.refusesConnections(ctx) {
		return false
	}
	d.localBackends.ReportCrash(a.backend.ID)
	attempts := a.gate.attempts()
	if !slices.Contains(attempts, a) {
		attempts = append(attempts, a)
	}
	d.reportCrash(a.backend, attempts)
	return true
}

// refusesConnections reports whether the backend server's port refuses connections. An
// exiting process closes its connections before its port, so a port that still accepts
// one is probed again after crashProbeInterval.
func (a *attempt) refusesConnections(ctx context.Context) bool {
	for try := range crashProbes {
		if try > 0 {
			select {
			case <-a.dispatcher.clock.After(crashProbeInterval):
			case <-ctx.Done():
				return false
			}
		}
		if errors.Is(a.dispatcher.pooler.ProbeTCP(ctx, a.backend.Address), syscall.ECONNREFUSED) {
			return true
		}
	}
	return false
}

// observe reports the result to the health evaluation.
func (a *attempt) observe(r *result, took time.Duration) {
	a.dispatcher.observer.Observe(fleet.Sample{
		At:          a.dispatcher.clock.Now(),
		Service:     a.backend.Service,
		Backend:     a.backend.ID,
		Kind:        a.call.kind,
		Class:       a.class(r),
		ServiceTime: took,
	})
}

// shed reports whether the backend server refused the request without running it.
func shed(r *http.Response) bool {
	return fleet.Executed(r.Header.Get(fleet.HeaderExecuted)) == fleet.ExecutedNo
}
