package roster

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Expire removes tombstones after the retention period. After half of it they are no
// longer compared with other nodes, so that nodes that remove them at different times do
// not reintroduce them to each other. Backend servers are removed with their owner.
func (r *Roster) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, m := range r.members {
		r.expireMember(id, m)
	}
	for i := range r.entries {
		if r.entries[i].used {
			r.expireBackend(uint32(i))
		}
	}
}

func (r *Roster) expireMember(id fleet.NodeID, m memberEntry) {
	if !isTombstone(m.Member) {
		return
	}
	age := r.age(m.tombstoneSince)
	if m.compared && age > r.retention/2 {
		r.toggleMember(m.Member)
		m.compared = false
		r.members[id] = m
	}
	if age > r.retention {
		delete(r.members, id)
	}
}

func (r *Roster) expireBackend(i uint32) {
	e := &r.entries[i]
	owner, known := r.members[fleet.NodeID(r.strings.value(e.owner))]
	orphan := !known || isTombstone(owner.Member)
	if e.state != fleet.BackendGone && !orphan {
		e.tombstoneSince = 0
		r.restoreToComparison(i)
		return
	}
	if e.tombstoneSince == 0 {
		e.tombstoneSince = r.uptimeSeconds()
	}
	age := r.age(e.tombstoneSince)
	if e.compared && age > r.retention/2 {
		r.toggleBackend(i)
		e.compared = false
	}
	if age > r.retention {
		r.removeBackend(i)
	}
}

// restoreToComparison compares a backend server again after its owner has returned.
func (r *Roster) restoreToComparison(i uint32) {
	if !r.entries[i].compared {
		r.entries[i].compared = true
		r.toggleBackend(i)
	}
}

func (r *Roster) age(since uint32) time.Duration {
	return time.Duration(int64(r.uptimeSeconds())-int64(since)) * time.Second
}
