package prober

import (
	"context"
	"sync"

	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/translator"
)

// runStops pushes the changes that stop new work.
func (p *Prober) runStops(ctx context.Context) error { return p.runOutlet(ctx, p.stops) }

// runChanges pushes the other changes.
func (p *Prober) runChanges(ctx context.Context) error { return p.runOutlet(ctx, p.changes) }

// runOutlet tells a few nodes of new changes; each does so in turn.
func (p *Prober) runOutlet(ctx context.Context, o *outlet) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		}
		wait := o.pushes.ReserveN(p.clock.Now(), 1).DelayFrom(p.clock.Now())
		if !p.sleep(ctx, max(wait, pushDelay)) {
			return ctx.Err()
		}
		if gossip := p.freshGossip(o); entryCount(gossip) > 0 {
			p.counters.pushes.Inc(1)
			p.push(ctx, gossip, o.fanout)
			o.hurry()
		}
	}
}

// entryCount returns the number of entries in gossip.
func entryCount(gossip *cowsliptallyv1.Gossip) int {
	return len(gossip.GetMembers()) + len(gossip.GetBackends())
}

// push sends changes to a few nodes and returns how many took them. A node that
// fails is replaced by another once.
func (p *Prober) push(ctx context.Context, gossip *cowsliptallyv1.Gossip, fanout int) int {
	chosen := p.choose(2*fanout, func(m fleet.Member) bool { return m.State == fleet.MemberAlive })
	first := min(fanout, len(chosen))
	taken := p.pushTo(ctx, chosen[:first], gossip)
	if missing := first - taken; missing > 0 {
		spare := chosen[first:]
		taken += p.pushTo(ctx, spare[:min(missing, len(spare))], gossip)
	}
	return taken
}

// pushTo sends the same changes to all targets at the same time.
func (p *Prober) pushTo(ctx context.Context, targets []fleet.Member, gossip *cowsliptallyv1.Gossip) int {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	request := &cowsliptallyv1.ProbeRequest{
		From:   translator.MemberToMessage(p.Self()),
		Gossip: gossip,
	}
	results := make(chan bool, len(targets))
	var duties sync.WaitGroup
	for _, target := range targets {
		duties.Go(func() {
			response, err := p.transport.Probe(ctx, target.PeerAddress, request)
			if err == nil {
				p.hear(response.GetFrom(), response.GetGossip())
			}
			results <- err == nil
		})
	}
	duties.Wait()
	taken := 0
	for range targets {
		if <-results {
			taken++
		}
	}
	return taken
}

// Leave tells the fleet that this node goes, and returns once several nodes know.
// It is to be called before Run ends, after the backend servers were drained.
func (p *Prober) Leave(ctx context.Context) error {
	p.mu.Lock()
	p.self = p.self.WithState(fleet.MemberLeft)
	self := p.self
	p.mu.Unlock()
	p.roster.PutMember(self)
	p.queueMember(self)
	if len(p.peers()) == 0 {
		return nil
	}
	gossip := p.freshGossip(p.stops)
	for range leaveAttempts {
		if p.push(ctx, gossip, stopFanout) > 0 {
			return nil
		}
	}
	return fault.New("leave", KindUnreachable, "no peer answered in %d attempts", leaveAttempts)
}

const leaveAttempts = 3
