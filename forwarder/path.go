package forwarder

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// askTimeout bounds a question whether a node can be reached again; between zones an
// answer takes a few milliseconds.
const askTimeout = 500 * time.Millisecond

// avoid lets requests go round a node until it answers a question, so that no request is
// lost to find out.
func (f *Forwarder) avoid(owner fleet.Member, cause string) {
	hold, begun := f.avoider.Failed(owner.ID)
	if !begun {
		return
	}
	f.recorder.Record(fleet.NewEvent(fleet.EventPath, string(owner.ID), "avoided",
		fleet.Milliseconds("hold", hold)).WithDetail(cause))
	f.checker.Check(owner.ID)
	f.clock.AfterFunc(hold, func() { f.ask(owner.ID) })
}

// suspects returns the backend servers whose owner another node could not reach either.
func (f *Forwarder) suspects(candidates []fleet.Backend) (ids []fleet.BackendID) {
	for _, backend := range candidates {
		if owner, found := f.directory.Member(backend.Owner); found && owner.State == fleet.MemberSuspect {
			ids = append(ids, backend.ID)
		}
	}
	return ids
}

// ask finds out whether an avoided node can be reached again.
func (f *Forwarder) ask(id fleet.NodeID) {
	owner, found := f.directory.Member(id)
	if !found || !owner.Lives() {
		f.avoider.Reached(id)
		return
	}
	ctx, cancel := context.WithTimeout(f.ending, askTimeout)
	defer cancel()
	if err := f.pooler.Ask(ctx, owner.PeerAddress); err != nil {
		f.avoid(owner, err.Error())
		return
	}
	f.reached(owner)
}

// reached lets requests go to a node again.
func (f *Forwarder) reached(owner fleet.Member) {
	if f.avoider.Reached(owner.ID) {
		f.recorder.Record(fleet.NewEvent(fleet.EventPath, string(owner.ID), "reached"))
	}
}
