package forwarder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/retrier"
)

const (
	// hedgeNumerator and hedgeDenominator give the share of its route's target before its node aborts it at which a
	// request that is still at work is hedged: most runs take less.
	hedgeNumerator, hedgeDenominator = 2, 3
	// minHedgeTime is the least such time: within it, two decisions about the attempt come.
	minHedgeTime = 700 * time.Millisecond
	// hedgeAgePart is the part of the target, 1/hedgeAgePart, for which a run has been at work before it is hedged:
	// one that has just begun is as likely to end as its hedge.
	hedgeAgePart = 8
)

// The reasons of the events of a hedge.
const (
	hedgeBegun    = "begun"
	hedgeAnswered = "answered"
)

// hedge is an attempt that is made beside another one, since the node is about to abort the request. The first of the
// two that is answered wins.
//
// Load that this answers: planned stops while requests run for seconds. A few runs in a hundred take several times as
// long as usual, and outlast the grace period of their ingress with most of their time limit left.
type hedge struct {
	backend fleet.Backend
	cancel  context.CancelFunc
	// done is closed once result is set.
	done   chan struct{}
	result *result
}

// hedgeFrom returns when a submission that is still at work is hedged, and after how long a run at the earliest; zero
// if it is not.
func (f *Forwarder) hedgeFrom(s *submission) (from time.Time, age time.Duration) {
	stopping := f.stopping.Load()
	if stopping == nil || s.target.IsZero() || s.granted || !stopping.abort.Before(s.deadline) {
		return time.Time{}, 0
	}
	target := s.target.Sub(s.started)
	return stopping.abort.Add(-max(target*hedgeNumerator/hedgeDenominator, minHedgeTime)), target / hedgeAgePart
}

// startHedge makes another attempt beside one that is at work, if an owner has a slot for it. It is charged like the other
// attempts that a planned stop takes: beyond what is left of the retry budget, too, as a wave of stops uses that up.
func (f *Forwarder) startHedge(ctx context.Context, d *delivery) {
	n := d.follow()
	s := n.submission
	if !f.mayHedge(&s) {
		d.recordSearch(nil)
		return
	}
	next := f.reserveNext(ctx, n, fleet.ReasonStopped)
	// Reserving takes a while, in which a crash may be reported or an owner be declared dead.
	if next == nil || !f.mayHedge(&s) {
		d.recordSearch(nil)
		return
	}
	s.stage, s.retryCost, s.lastAttempt, s.uncounted = &stage{work: f.work}, next.retryCost, true, false
	ctx, cancel := context.WithCancel(ctx)
	h := &hedge{backend: next.backend, cancel: cancel, done: make(chan struct{})}
	if !d.addHedge(h) {
		cancel()
		d.recordSearch(nil) // else it would be due again at once
		return
	}
	d.submission.stage.beginHedge(s.stage)
	if next.uncharged != nil {
		f.retrier.Decide(*next.uncharged)
	}
	f.recordHedge(&s, h.backend, hedgeBegun, n.number)
	go func() {
		defer close(h.done)
		h.result = f.attempt(ctx, &s, h.backend, n.number, queued)
		switch {
		case !h.result.answered() || h.result.failed():
			d.recordHedgeFailure(h)
		case d.endByHedge():
			f.recordHedge(&s, h.backend, hedgeAnswered, n.number)
		}
	}()
}

// mayHedge reports whether a submission is neither suspect, which the next owner may not have heard of, nor has lost an owner: it
// may kill two more VMs at once.
func (f *Forwarder) mayHedge(s *submission) bool {
	return f.quarantiner.Check(s.identity).Verdict == quarantiner.Unneeded && s.lostCount(f.directory) == 0
}

// recordHedge records a hedge with this number, and where it runs.
func (f *Forwarder) recordHedge(s *submission, backend fleet.Backend, reason string, number int) {
	f.recorder.Record(fleet.NewEvent(fleet.EventHedge, string(s.id), reason,
		fleet.Figure{Name: "attempt", Value: float64(number)},
		fleet.Milliseconds("left", f.latestAnswer(s).Sub(f.clock.Now())),
	).WithService(s.service).WithDetail(s.at(backend)))
}

// addHedge records an attempt that is made beside this one, and reports whether this one has not ended.
func (d *delivery) addHedge(h *hedge) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return false
	}
	d.hedges, d.known = append(d.hedges, h), d.known.WithHedge()
	return true
}

// recordHedgeFailure records that the last hedge has failed. Another attempt may be made beside this one, or follow it, unless
// the failure forbids it.
func (d *delivery) recordHedgeFailure(h *hedge) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !h.result.answered() && !retrier.Repeatable(h.result.outcome, true) {
		return
	}
	d.succession = d.succession.after(h.backend, h.result)
	d.known = d.known.WithHedgeFailed()
}

// endByHedge ends the exchange with the owner, as the hedge was answered, and reports whether it had not ended. An
// answer that is passed on is read with the context of its exchange.
func (d *delivery) endByHedge() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return false
	}
	d.supersede()
	d.cancel()
	return true
}

// end records that the exchange with the owner has ended, and returns the attempts that were made beside it.
func (d *delivery) end() []*hedge {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	return d.hedges
}

// after returns what follows once an attempt beside the present one has failed.
func (n *succession) after(backend fleet.Backend, r *result) *succession {
	next := *n
	next.number++
	next.state.tried = append(slices.Clone(n.state.tried), backend.ID)
	next.submission.charged = r.outcome.Executed == fleet.ExecutedNo
	if next.submission.charged {
		return &next
	}
	next.counted++
	next.state.ran++
	next.state.ranAt = append(slices.Clone(n.state.ranAt), backend.ID)
	if r.lost != nil {
		next.submission.lost = append(slices.Clone(n.submission.lost), *r.lost)
	}
	return &next
}

// settleHedges returns the result that counts of an attempt and its hedges, with its backend server. It waits for the
// hedge in flight, or ends it if the result of the attempt is final. The other results are recorded as those of earlier
// attempts.
func (f *Forwarder) settleHedges(s *submission, state *attemptState, backend fleet.Backend, first *result) (fleet.Backend, *result) {
	counts := first
	for _, h := range first.hedges {
		if f.isFinal(s, counts) {
			h.cancel()
			s.hedges = append(s.hedges, h)
			if !counts.answered() {
				s.recordEnded(h)
			}
			continue
		}
		<-h.done
		s.charged = h.result.outcome.Executed == fleet.ExecutedNo
		s.trace = append(s.trace, "beside it "+h.result.describe(h.backend, queued))
		if f.countsFirst(s, counts, h.result) {
			f.recordEarlier(s, state, h.backend, h.result)
			continue
		}
		f.recordEarlier(s, state, backend, counts)
		backend, counts = h.backend, h.result
	}
	return backend, counts
}

// isFinal reports whether the result of an attempt counts whatever becomes of its hedge. One that the hedge has ended is
// not.
func (f *Forwarder) isFinal(s *submission, r *result) bool {
	switch {
	case r.answered():
		return !f.replaceable(s, r)
	case r.outcome.Reason == fleet.ReasonCancelled:
		return false
	default:
		return !retrier.Repeatable(r.outcome, s.idempotent)
	}
}

// countsFirst reports whether the result of an attempt that has failed counts, and not that of its hedge: an attempt that was
// given up for a reserved slot goes before a hedge that had failed by then, an answer before none, then what no other attempt
// may follow, then what a planned stop has ended, as that is followed by a search for a slot, then what may have run.
func (f *Forwarder) countsFirst(s *submission, first, second *result) bool {
	switch {
	case first.successor != nil && (second.failed() || retrier.Repeatable(second.outcome, s.idempotent)):
		return true
	case second.answered():
		return first.answered() && second.failed()
	case first.answered():
		return true
	default:
		stopped := first.outcome.Reason == fleet.ReasonStopped
		return (stopped || second.outcome.Executed == fleet.ExecutedNo) && retrier.Repeatable(second.outcome, s.idempotent)
	}
}

// recordEarlier records the result of an attempt that counts less than the one beside it.
func (f *Forwarder) recordEarlier(s *submission, state *attemptState, backend fleet.Backend, r *result) {
	s.recordAttempt(f.directory, r)
	state.recordAttempt(backend, r)
	f.recordRefusal(s, backend, r)
	state.keepErrorAnswer(r)
}

// recordEnded records whether a hedge that was ended may have run, once that is known: a refusal of the attempt beside it proves nothing of it.
func (s *submission) recordEnded(h *hedge) {
	<-h.done
	if h.result.outcome.Executed != fleet.ExecutedNo {
		s.stage.finish(fleet.ExecutedUnknown)
	}
}

// closeHedges ends the attempts that are not needed any more. What was written to the caller does not wait for them.
func (s *submission) closeHedges(w http.ResponseWriter) {
	if len(s.hedges) == 0 {
		return
	}
	_ = http.NewResponseController(w).Flush() // writers that cannot flush have sent it
	for _, h := range s.hedges {
		h.cancel()
		<-h.done
		h.result.close()
	}
}
