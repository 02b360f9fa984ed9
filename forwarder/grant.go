package forwarder

import (
	"context"
	"sync"

	"cowsliptally.example/cowsliptally/fleet"
)

// acquireKey acquires the idempotency key of a submission that must not run twice. If it
// is uncertain whether the key was used, the submission does not run.
func (f *Forwarder) acquireKey(ctx context.Context, s *submission) *result {
	if s.idempotent || s.key == "" || s.granted {
		return nil
	}
	granted, reason, err := f.requestKey(ctx, s)
	switch {
	case granted:
		s.granted = true
		return nil
	case err != nil:
		return unknown(fleet.ReasonDeduplicator, "the key's guard cannot be asked, so the request will not run: "+err.Error())
	case reason == fleet.ReasonDuplicate:
		return unknown(reason, "the key was used before, so the request will not run again")
	default:
		return unknown(fleet.ReasonDeduplicator, "the key's guard cannot know whether it was used, so the request will not run; "+
			"if it was never sent before, send it under a UUIDv7 made now or a key from POST "+KeyPath)
	}
}

func (f *Forwarder) requestKey(ctx context.Context, s *submission) (bool, fleet.Reason, error) {
	node := f.deduplicator.ResponsibleNode(s.key)
	if node == f.node {
		decision := f.deduplicator.Grant(s.service, s.key, s.holder)
		return decision.Granted, decision.Reason, nil
	}
	member, found := f.directory.Member(node)
	if !found {
		return false, fleet.ReasonDeduplicator, nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return f.peers.grant(ctx, member.PeerAddress, s.service, s.key, s.holder)
}

// releaseGrants releases the key and trial run that a submission holds, after proof that
// it did not and will not run. This precedes the caller's answer, so that the caller may
// send the request again at once.
func (f *Forwarder) releaseGrants(s *submission) {
	var group sync.WaitGroup
	group.Go(func() { f.releaseKey(s) })
	group.Go(func() { f.endTrial(s) })
	group.Wait()
}

// releaseKey releases the idempotency key.
func (f *Forwarder) releaseKey(s *submission) {
	if !s.granted {
		return
	}
	node := f.deduplicator.ResponsibleNode(s.key)
	if node == f.node {
		f.deduplicator.Release(s.service, s.key, s.holder)
		return
	}
	member, found := f.directory.Member(node)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.callTimeout())
	defer cancel()
	// A key whose release is lost stays granted: it will not run again.
	_ = f.peers.release(ctx, member.PeerAddress, s.service, s.key, s.holder)
}
