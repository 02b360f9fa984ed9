package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/textproto"
	"sync"
	"sync/atomic"
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

// delivery is an attempt that is sent to an owner, and what the owner told about it.
type delivery struct {
	submission *submission
	owner      fleet.Member
	number     int
	ticket     string
	deadline   time.Time
	// succession finds the attempt that follows if this one is given up although it may run; nil if
	// none may.
	succession *succession
	// successor is that attempt, once a slot is reserved for it.
	successor atomic.Pointer[successor]
	// waiting is set while the last that the owner told is that the attempt waits, and that
	// it will tell before it dispatches it.
	waiting atomic.Bool
	// answer is what the owner answered last when it was asked for a seal while it was silent;
	// nil if it was not asked.
	answer atomic.Pointer[sealAnswer]
	// renewal renews the connections to the owner once.
	renewal sync.Once
}

// sealAnswer is the answer to a request for a seal. With an error, there was none.
type sealAnswer struct {
	sealed bool
	err    error
}

func newDelivery(s *submission, owner fleet.Member, number int, ticket string) *delivery {
	return &delivery{submission: s, owner: owner, number: number, ticket: ticket, deadline: s.deadline, succession: s.succession}
}

// recordProgress records an informational response of the owner.
func (d *delivery) recordProgress(header textproto.MIMEHeader) {
	d.waiting.Store(header.Get(fleet.HeaderProgress) == fleet.ProgressWaiting)
}

// unanswered returns the result of an attempt whose exchange ended without an answer.
func (f *Forwarder) unanswered(ctx context.Context, d *delivery, exchange *pooler.Exchange, err error) *result {
	reason := failureReason(ctx, err)
	if !exchange.Sent {
		return refused(reason, err.Error())
	}
	if reason == fleet.ReasonStalled {
		f.renew(d)
	}
	if reason == fleet.ReasonCancelled && !d.submission.granted {
		return unknown(reason, "the caller left")
	}
	r := f.prove(ctx, d, exchange, unknown(reason, err.Error()))
	if reason == fleet.ReasonStalled {
		r.successor = d.successor.Load()
	}
	return r
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
	r.notAttributed = err == nil && r.outcome.Reason == fleet.ReasonStalled
	// The planned end of a node says nothing of the requests that ran there.
	r.lostOwner = err != nil && !sealed && ctx.Err() == nil && !f.hasLeft(d.owner)
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerCallTimeout)
	defer cancel()
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
	case pooler.KindDial:
		return fleet.ReasonConnect
	case pooler.KindFull:
		return fleet.ReasonMemory
	default:
		return fleet.ReasonBroken
	}
}
