package forwarder

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pooler"
)

const (
	// sealTries bounds the calls to seal an attempt whose owner may be dead. A process that is
	// killed closes its connections before its port.
	sealTries = 3
	// sealInterval is the time between them.
	sealInterval = 20 * time.Millisecond
)

// unanswered returns the result of an attempt whose exchange ended without an answer.
func (f *Forwarder) unanswered(ctx context.Context, d *delivery, exchange *pooler.Exchange, err error) *result {
	reason := failureReason(ctx, err)
	if !exchange.Sent {
		return refused(reason, err.Error())
	}
	if reason == fleet.ReasonStalled {
		f.renew(d)
	}
	reason = f.plannedReason(d, reason)
	if reason == fleet.ReasonCancelled && !d.submission.granted {
		return unknown(reason, "the caller left")
	}
	next := d.following(reason) // before the owner is asked for a proof: a slot is reserved for a moment only
	r := f.prove(ctx, d, exchange, unknown(reason, err.Error()))
	r.ownerStopping, _ = d.ownerStopping()
	r.successor = next
	return r
}

// plannedReason returns ReasonStopped for a failure that comes of the planned end of the owner's node, else
// the reason.
func (f *Forwarder) plannedReason(d *delivery, reason fleet.Reason) fleet.Reason {
	_, told := d.ownerStopping()
	if (reason == fleet.ReasonBroken || reason == fleet.ReasonStalled) && (told || f.hasLeft(d.owner)) {
		return fleet.ReasonStopped
	}
	return reason
}

// misanswered returns the result of an attempt that was answered as another request, or by
// a server that is no owner.
func (f *Forwarder) misanswered(ctx context.Context, d *delivery, exchange *pooler.Exchange, answered string) *result {
	exchange.Break()
	return f.prove(ctx, d, exchange, unknown(fleet.ReasonBroken, fmt.Sprintf("the owner answered request %q", answered)))
}

// prove returns the result of an attempt that was sent and has no answer: the given one,
// whose outcome is unknown, or a refusal if it is proved that the attempt did not run and
// will not. docs/design/proofs.md lists what is proof.
func (f *Forwarder) prove(ctx context.Context, d *delivery, exchange *pooler.Exchange, r *result) *result {
	sealed, err := f.sealUnlessAnswered(ctx, d, exchange.Ended, r.outcome.Reason)
	if sealed {
		r.outcome.Executed = fleet.ExecutedNo
	}
	r.notAttributed = err == nil && r.outcome.Reason == fleet.ReasonStalled || r.outcome.Reason == fleet.ReasonStopped
	// The planned end of a node says nothing of the requests that ran there.
	if err != nil && !sealed && ctx.Err() == nil && r.outcome.Reason != fleet.ReasonStopped && !f.hasLeft(d.owner) {
		r.lost = &lostOwner{id: d.owner.ID, silent: r.outcome.Reason == fleet.ReasonStalled}
	}
	return r
}

// sealUnlessAnswered seals an attempt. What a silent owner has answered is used again if it sealed the
// attempt, or if the attempt was given up for that answer.
func (f *Forwarder) sealUnlessAnswered(ctx context.Context, d *delivery, ended bool, reason fleet.Reason) (bool, error) {
	if answer := d.answer.Load(); answer != nil && (answer.sealed || reason == fleet.ReasonStalled) {
		return answer.sealed, answer.err
	}
	return f.seal(ctx, d, ended)
}

// seal requests the owner, over a fresh connection, to seal an attempt. If the owner's
// process has ended, the attempt is as good as sealed when the owner told that it waits, and
// ended the connection in order without telling that it dispatched it. An error means that the
// owner could not be queried.
func (f *Forwarder) seal(ctx context.Context, d *delivery, ended bool) (bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.callTimeout())
	defer cancel()
	defer context.AfterFunc(d.superseded, cancel)() // the proof is not needed any more
	waited := ended && d.waiting.Load()
	for try := 1; ; try++ {
		sealed, err := f.peers.seal(ctx, d.owner.PeerAddress, d.submission.id, d.number, d.ticket)
		switch {
		case err == nil:
			return sealed, nil
		case errors.Is(err, syscall.ECONNREFUSED):
			return waited, err
		case !waited || try >= sealTries || !f.wait(ctx, sealInterval):
			return false, err
		}
	}
}

// failureReason returns the reason for which an exchange ended without an answer.
func failureReason(ctx context.Context, err error) fleet.Reason {
	if ctx.Err() != nil {
		return fleet.ContextReason(ctx)
	}
	switch fault.KindOf[pooler.Kind](err) {
	case pooler.KindSilent:
		return fleet.ReasonStalled
	case pooler.KindSuperseded:
		return fleet.ReasonStopped
	case pooler.KindDial:
		return fleet.ReasonConnect
	case pooler.KindFull:
		return fleet.ReasonMemory
	default:
		return fleet.ReasonBroken
	}
}
