package roster

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Expire drops tombstones after the retention. After half of it they are no longer
// compared with other nodes, so that nodes that drop them at different times do not
// hand them back and forth. Backend servers go with their owner.
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
	if !buried(m.Member) {
		return
	}
	age := r.age(m.since)
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
	orphan := !known || buried(owner.Member)
	if e.state != fleet.BackendGone && !orphan {
		e.since = 0
		r.compareAgain(i)
		return
	}
	if e.since == 0 {
		e.since = r.seconds()
	}
	age := r.age(e.since)
	if e.compared && age > r.retention/2 {
		r.toggleBackend(i)
		e.compared = false
	}
	if age > r.retention {
		r.remove(i)
	}
}

// compareAgain takes a backend server whose owner came back into the comparison.
func (r *Roster) compareAgain(i uint32) {
	if !r.entries[i].compared {
		r.entries[i].compared = true
		r.toggleBackend(i)
	}
}

func (r *Roster) age(since uint32) time.Duration {
	return time.Duration(r.seconds()-since) * time.Second
}
