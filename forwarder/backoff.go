package forwarder

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// reachabilityTimeout bounds a check whether a node is reachable again; between zones an
// answer takes a few milliseconds.
const reachabilityTimeout = 500 * time.Millisecond

// backOff puts an unreachable node into backoff, so that requests are routed past it until
// it answers a reachability check and none is lost as a test of the path.
func (f *Forwarder) backOff(owner fleet.Member, cause string) {
	delay, begun := f.breaker.RecordUnreachable(owner.ID)
	if !begun {
		return
	}
	f.recorder.Record(fleet.NewEvent(fleet.EventReachability, string(owner.ID), "avoided",
		fleet.Milliseconds("hold", delay)).WithDetail(cause))
	f.checker.RequestProbe(owner.ID)
	f.clock.AfterFunc(delay, func() { f.checkReachable(owner.ID) })
}

// behindSuspectOwners returns the backend servers whose owner is a suspect member, as
// another node could not reach it either.
func (f *Forwarder) behindSuspectOwners(candidates []fleet.Backend) (ids []fleet.BackendID) {
	for _, backend := range candidates {
		if owner, found := f.directory.Member(backend.Owner); found && owner.State == fleet.MemberSuspect {
			ids = append(ids, backend.ID)
		}
	}
	return ids
}

// checkReachable checks whether a node in backoff is reachable again.
func (f *Forwarder) checkReachable(id fleet.NodeID) {
	owner, found := f.directory.Member(id)
	if !found || !owner.IsLive() {
		f.breaker.RecordReachable(id)
		return
	}
	ctx, cancel := context.WithTimeout(f.abortContext, reachabilityTimeout)
	defer cancel()
	if err := f.pooler.ProbeHTTP(ctx, owner.PeerAddress); err != nil {
		f.backOff(owner, err.Error())
		return
	}
	f.markReachable(owner)
}

// markReachable ends the backoff of a node.
func (f *Forwarder) markReachable(owner fleet.Member) {
	if f.breaker.RecordReachable(owner.ID) {
		f.recorder.Record(fleet.NewEvent(fleet.EventReachability, string(owner.ID), "reached"))
	}
}
