package forwarder

import (
	"context"
	"errors"
	"syscall"

	"cowsliptally.example/cowsliptally/arbiter"
	"cowsliptally.example/cowsliptally/fleet"
)

// handleSilence puts a node into backoff at its first progress timeout, and reports whether the
// attempt that waits for it is abandoned.
func (f *Forwarder) handleSilence(ctx context.Context, d *delivery, timeouts int) bool {
	if timeouts == 1 {
		f.backOff(d.owner, "no sign of life")
	}
	d.update(func(a arbiter.Attempt) arbiter.Attempt { return a.WithSilence(timeouts) })
	return f.decide(ctx, d)
}

// handleProgress reports whether an attempt whose owner gives signs of life is given up for the next one.
func (f *Forwarder) handleProgress(ctx context.Context, d *delivery) bool {
	d.update(func(a arbiter.Attempt) arbiter.Attempt { return a.WithProgress(f.clock.Now()).WithNewSearch() })
	return f.decide(ctx, d)
}

// decide takes the steps that are due for an attempt, and reports whether it is given up.
func (f *Forwarder) decide(ctx context.Context, d *delivery) bool {
	d.goOn() // bytes that arrived during the last decision may have kept the attempt from being given up
	follow := d.follow()
	d.update(func(a arbiter.Attempt) arbiter.Attempt {
		a = a.WithDeadline(f.latestAnswer(d.submission)).WithHedgeFrom(f.hedgeFrom(d.submission))
		if follow == nil {
			return a
		}
		lost := follow.submission.lostCount(f.directory)
		if lost >= maxLostOwners {
			return a.WithoutNext()
		}
		return a.WithRepeatable(lost+1 >= maxLostOwners)
	})
	for ctx.Err() == nil {
		switch d.next(f.clock.Now()) {
		case arbiter.Ask:
			answer := f.askOwner(ctx, d)
			d.update(func(a arbiter.Attempt) arbiter.Attempt { return a.WithAnswer(answer, f.clock.Now()) })
		case arbiter.Reserve:
			d.recordSearch(f.reserveSlot(ctx, d))
		case arbiter.Hedge:
			f.startHedge(ctx, d)
		case arbiter.Move:
			d.giveUp()
			return true
		case arbiter.Drop:
			return true
		default:
			return false
		}
	}
	return false
}

// reserveSlot looks for a slot for the attempt that follows. It returns nil if there is none.
func (f *Forwarder) reserveSlot(ctx context.Context, d *delivery) *successor {
	reason := fleet.ReasonStalled
	if _, stopping := d.ownerStopping(); stopping {
		reason = fleet.ReasonStopped
	}
	return f.reserveNext(ctx, d.follow(), reason)
}

// askOwner asks a silent owner to seal an attempt. Later requests take new connections to it.
func (f *Forwarder) askOwner(ctx context.Context, d *delivery) arbiter.Answer {
	f.renew(d)
	sealed, err := f.seal(ctx, d, false)
	d.answer.Store(&sealAnswer{sealed: sealed, err: err})
	switch {
	case sealed:
		return arbiter.Sealed
	case f.hasEnded(d.owner):
		return arbiter.Gone // also if a later process at its address has answered
	case errors.Is(err, syscall.ECONNREFUSED):
		return arbiter.Ended
	case err == nil:
		return arbiter.NotSealed
	default:
		return arbiter.Unreachable
	}
}

// hasEnded reports whether the fleet holds a node's process for ended. One that has announced its
// departure may still run requests.
func (f *Forwarder) hasEnded(owner fleet.Member) bool {
	member, found := f.directory.Member(owner.ID)
	return !found || member.State == fleet.MemberDead || member.PeerAddress != owner.PeerAddress
}

// hasLeft reports whether a node has announced its departure.
func (f *Forwarder) hasLeft(owner fleet.Member) bool {
	member, found := f.directory.Member(owner.ID)
	return found && member.State == fleet.MemberLeft
}

// renew leaves the pooled connections to the owner of an attempt, once for each attempt.
func (f *Forwarder) renew(d *delivery) {
	d.renewal.Do(func() {
		f.pooler.Renew(d.owner.PeerAddress)
		f.recorder.Record(fleet.NewEvent(fleet.EventStalled, string(d.owner.ID), string(fleet.ReasonStalled)))
	})
}
