package prober

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const suspicionInterval = 250 * time.Millisecond

// suspect marks a node as suspect and sets the time of the final check. The node may
// refute the suspicion until then.
func (p *Prober) suspect(m fleet.Member) {
	nodes := p.Nodes()
	p.mu.Lock()
	if _, suspected := p.suspicions[m.ID]; suspected {
		p.mu.Unlock()
		return
	}
	deadline := p.clock.Now().Add(suspicionTime(nodes, p.awareness))
	p.suspicions[m.ID] = suspicion{incarnation: m.Incarnation, deadline: deadline}
	p.mu.Unlock()
	p.counters.suspicions.Inc(1)
	p.broadcastState(m.WithState(fleet.MemberSuspect))
}

// broadcastState records a node as suspect or dead and queues the change for the peers.
func (p *Prober) broadcastState(m fleet.Member) {
	if !p.roster.PutMember(m) {
		return
	}
	p.memberChanged(m, "unreachable from here and through a helper")
	p.queueMemberChange(m)
}

// runSuspicions makes the final check of each suspect node at its deadline.
func (p *Prober) runSuspicions(ctx context.Context) error {
	for p.sleep(ctx, suspicionInterval) {
		p.mu.Lock()
		due := p.suspicions.due(p.clock.Now())
		p.mu.Unlock()
		for _, id := range due {
			p.confirm(ctx, id)
		}
	}
	return ctx.Err()
}

// confirm declares a suspect node dead unless a last probe reaches it. It runs only on
// nodes whose own probes raised the suspicion.
func (p *Prober) confirm(ctx context.Context, id fleet.NodeID) {
	p.mu.Lock()
	entry := p.suspicions[id]
	delete(p.suspicions, id)
	p.mu.Unlock()
	m, found := p.roster.Member(id)
	if !found || m.State != fleet.MemberSuspect || m.Incarnation != entry.incarnation {
		return
	}
	if p.probeTarget(ctx, m) != resultUnreachable || ctx.Err() != nil {
		return
	}
	current, found := p.roster.Member(id)
	if !found || current.State != fleet.MemberSuspect || current.Incarnation != entry.incarnation {
		return
	}
	p.counters.deaths.Inc(1)
	p.broadcastState(current.WithState(fleet.MemberDead))
}
