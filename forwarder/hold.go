package forwarder

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pipeliner"
)

// heldAnswers is the part of an answer that is read on while others wait behind it, as a
// multiple of the largest answer that is buffered in any case.
const heldAnswers = 3

// holdUnending treats an answer that is too large to be buffered while requests that were
// pipelined behind it have been begun. If it were streamed and broken off, the protocol would
// allow no answer to them. It is read on, up to a bound and its deadline; one that does not end
// by then becomes a failure, and the connection goes on. An answer whose length is known and
// over the bound is streamed. No further requests are begun behind any of them.
func (f *Forwarder) holdUnending(ctx context.Context, s *submission, r *result) {
	if r.whole || !pipeliner.Hold(s.request.Context()) {
		return
	}
	left := r.exchange.Response.ContentLength
	if left >= 0 {
		left -= r.length()
	}
	if left > f.rests.Bound() {
		return
	}
	rest, whole, err := f.rests.CollectPart(r.exchange.Response.Body, left)
	switch {
	case err != nil && ctx.Err() != nil:
		r.outcome, r.message = fleet.Outcome{Executed: fleet.ExecutedUnknown, Reason: fleet.ContextReason(ctx)}, err.Error()
	case err != nil:
		r.outcome, r.message = fleet.Outcome{Executed: fleet.ExecutedUnknown, Reason: fleet.ReasonBroken}, err.Error()
	case whole || left >= 0:
		r.rest, r.whole = rest, whole
	default:
		rest.Release()
		r.outcome = fleet.Outcome{Executed: fleet.ExecutedUnknown, Reason: fleet.ReasonBroken}
		r.message = "the answer does not end within the bound while others wait behind it"
	}
}
