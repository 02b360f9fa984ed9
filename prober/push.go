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
func (p *Prober) runStops(ctx context.Context) error { return p.runQueue(ctx, p.stopChanges) }

// runChanges pushes the other changes.
func (p *Prober) runChanges(ctx context.Context) error { return p.runQueue(ctx, p.otherChanges) }

// runQueue pushes the new changes of a queue to a few nodes, which push them on in turn.
func (p *Prober) runQueue(ctx context.Context, q *changeQueue) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.wake:
		}
		wait := q.pushes.ReserveN(p.clock.Now(), 1).DelayFrom(p.clock.Now())
		if !p.sleep(ctx, max(wait, pushDelay)) {
			return ctx.Err()
		}
		if gossip := p.pushGossip(q); entryCount(gossip) > 0 {
			p.counters.pushes.Inc(1)
			p.push(ctx, gossip, q.fanout)
			q.requestPush()
		}
	}
}

// entryCount returns the number of entries in gossip.
func entryCount(gossip *cowsliptallyv1.Gossip) int {
	return len(gossip.GetMembers()) + len(gossip.GetBackends())
}

// push sends changes to a few nodes and returns how many received them. A node that
// fails is replaced by another one, once.
func (p *Prober) push(ctx context.Context, gossip *cowsliptallyv1.Gossip, fanout int) int {
	chosen := p.choosePeers(2*fanout, func(m fleet.Member) bool { return m.State == fleet.MemberAlive })
	first := min(fanout, len(chosen))
	received := p.pushTo(ctx, chosen[:first], gossip)
	if missing := first - received; missing > 0 {
		spare := chosen[first:]
		received += p.pushTo(ctx, spare[:min(missing, len(spare))], gossip)
	}
	return received
}

// pushTo sends changes to all targets concurrently and returns how many received them.
func (p *Prober) pushTo(ctx context.Context, targets []fleet.Member, gossip *cowsliptallyv1.Gossip) int {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	request := &cowsliptallyv1.ProbeRequest{
		From:   translator.MemberToMessage(p.Self()),
		Gossip: gossip,
	}
	results := make(chan bool, len(targets))
	var sends sync.WaitGroup
	for _, target := range targets {
		sends.Go(func() {
			response, err := p.transport.Probe(ctx, target.PeerAddress, request)
			if err == nil {
				p.handleExchange(response.GetFrom(), response.GetGossip())
			}
			results <- err == nil
		})
	}
	sends.Wait()
	received := 0
	for range targets {
		if <-results {
			received++
		}
	}
	return received
}

// Leave announces that this node leaves the fleet, and returns once at least one node has
// received it. Call it before Run ends, after the backend servers were drained.
func (p *Prober) Leave(ctx context.Context) error {
	p.mu.Lock()
	p.self = p.self.WithState(fleet.MemberLeft)
	self := p.self
	p.mu.Unlock()
	p.roster.PutMember(self)
	p.queueMemberChange(self)
	if len(p.peers()) == 0 {
		return nil
	}
	gossip := p.pushGossip(p.stopChanges)
	for range leaveAttempts {
		if p.push(ctx, gossip, stopFanout) > 0 {
			return nil
		}
	}
	return fault.New("leave", KindUnreachable, "no peer answered in %d attempts", leaveAttempts)
}

const leaveAttempts = 3
