package prober

import (
	"context"
	"sync"

	"cowsliptally.example/cowsliptally/fleet"
)

// maxChecks bounds the nodes that wait to be checked; more are left to the usual probes.
const maxChecks = 32

// Check asks for a probe of a node out of turn, since a request to it met silence. If
// neither this node nor a helper reaches it, the whole fleet hears that it is suspect.
func (p *Prober) Check(id fleet.NodeID) { p.checks.Push(id) }

// runChecks probes the nodes that Check named.
func (p *Prober) runChecks(ctx context.Context) error {
	var duties sync.WaitGroup
	defer duties.Wait()
	for {
		id, found := p.checks.Pop(ctx)
		if !found {
			return ctx.Err()
		}
		target, found := p.roster.Member(id)
		if !found || target.State != fleet.MemberAlive {
			continue
		}
		p.launch(ctx, &duties, target)
	}
}
