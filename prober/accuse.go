package prober

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const suspicionInterval = 250 * time.Millisecond

// suspect marks a node as suspect, which it may refute, and sets the time of the
// last check.
func (p *Prober) suspect(m fleet.Member) {
	nodes := p.Nodes()
	p.mu.Lock()
	if _, accused := p.suspicions[m.ID]; accused {
		p.mu.Unlock()
		return
	}
	deadline := p.clock.Now().Add(suspicionTime(nodes, p.awareness))
	p.suspicions[m.ID] = suspicion{incarnation: m.Incarnation, deadline: deadline}
	p.mu.Unlock()
	p.counters.suspicions.Inc(1)
	p.accuse(m.WithState(fleet.MemberSuspect))
}

// accuse enters a node as suspect or dead and spreads it.
func (p *Prober) accuse(m fleet.Member) {
	if !p.roster.PutMember(m) {
		return
	}
	p.memberChanged(m, "unreachable from here and through a helper")
	p.queueMember(m)
}

// runSuspicions checks accused nodes for the last time when their time is over.
func (p *Prober) runSuspicions(ctx context.Context) error {
	for p.sleep(ctx, suspicionInterval) {
		p.mu.Lock()
		due := p.suspicions.due(p.clock.Now())
		p.mu.Unlock()
		for _, id := range due {
			p.convict(ctx, id)
		}
	}
	return ctx.Err()
}

// convict declares an accused node dead unless it can be reached after all. Only
// nodes that accused another by their own probes do so.
func (p *Prober) convict(ctx context.Context, id fleet.NodeID) {
	p.mu.Lock()
	entry := p.suspicions[id]
	delete(p.suspicions, id)
	p.mu.Unlock()
	m, found := p.roster.Member(id)
	if !found || m.State != fleet.MemberSuspect || m.Incarnation != entry.incarnation {
		return
	}
	if p.test(ctx, m) != verdictUnreachable || ctx.Err() != nil {
		return
	}
	current, found := p.roster.Member(id)
	if !found || current.State != fleet.MemberSuspect || current.Incarnation != entry.incarnation {
		return
	}
	p.counters.deaths.Inc(1)
	p.accuse(current.WithState(fleet.MemberDead))
}
