package forwarder

import (
	"context"
	"errors"
	"syscall"

	"cowsliptally.example/cowsliptally/fleet"
)

// handleSilence puts a node into backoff at its first progress timeout, and reports whether the
// attempt that waits for it is abandoned.
func (f *Forwarder) handleSilence(ctx context.Context, d *delivery, timeouts int) bool {
	if timeouts == 1 {
		f.backOff(d.owner, "no sign of life")
	}
	known := silence{
		timeouts:   timeouts,
		repeatable: d.succession != nil,
		lastLoss:   d.succession != nil && d.succession.submission.lostOwners+1 >= maxLostOwners,
	}
	d.successor.Store(nil) // one of an earlier silence
	for ctx.Err() == nil {
		known.left = d.deadline.Sub(f.clock.Now())
		switch known.next() {
		case askOwner:
			known.answer = f.askOwner(ctx, d)
		case reserveNext:
			known.search = noSlot
			if next := f.reserveNext(ctx, d.succession); next != nil {
				d.successor.Store(next)
				known.search = slotReserved
			}
		case abandon:
			return true
		default:
			return false
		}
	}
	return false
}

// askOwner asks a silent owner to seal an attempt. Later requests take new connections to it.
func (f *Forwarder) askOwner(ctx context.Context, d *delivery) ownerAnswer {
	f.renew(d)
	sealed, err := f.seal(ctx, d, false)
	d.answer.Store(&sealAnswer{sealed: sealed, err: err})
	switch {
	case sealed:
		return ownerSealed
	case errors.Is(err, syscall.ECONNREFUSED) || f.hasEnded(d.owner):
		return ownerEnded // also if a later process at its address has answered
	case err == nil:
		return ownerDidNotSeal
	default:
		return ownerUnreachable
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
