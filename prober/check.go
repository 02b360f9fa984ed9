package prober

import (
	"context"
	"sync"

	"cowsliptally.example/cowsliptally/fleet"
)

// maxChecks bounds the queue of out-of-turn probes; further nodes wait for their regular probe.
const maxChecks = 32

// RequestProbe requests an out-of-turn probe of a node that did not answer a request. If neither
// this node nor a helper reaches it, it is marked suspect throughout the fleet.
func (p *Prober) RequestProbe(id fleet.NodeID) { p.checks.Push(id) }

// runChecks probes the nodes queued by RequestProbe.
func (p *Prober) runChecks(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		id, found := p.checks.Pop(ctx)
		if !found {
			return ctx.Err()
		}
		target, found := p.roster.Member(id)
		if !found || target.State != fleet.MemberAlive {
			continue
		}
		p.startProbe(ctx, &probes, target)
	}
}
