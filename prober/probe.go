package prober

import (
	"context"
	"sync"
	"time"

	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/translator"
)

const (
	// indirectProbeCount is the number of helpers for the indirect probe of an unresponsive node.
	indirectProbeCount = 3
	// pauseTolerance is how late a timer or the time limit of a probe may fire before this
	// node counts as paused.
	pauseTolerance = 200 * time.Millisecond
)

// runProbes probes one node each interval.
func (p *Prober) runProbes(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		interval := p.currentAwareness().scale(p.interval)
		started := p.clock.Now()
		if !p.sleep(ctx, interval) {
			return ctx.Err()
		}
		p.recordPause(p.clock.Since(started) - interval)
		target, found := p.nextTarget()
		if found {
			p.startProbe(ctx, &probes, target)
		}
	}
}

// startProbe evaluates a node concurrently, unless too many probes are running.
func (p *Prober) startProbe(ctx context.Context, probes *sync.WaitGroup, target fleet.Member) {
	select {
	case p.probeSlots <- struct{}{}:
	default:
		return
	}
	probes.Go(func() {
		p.evaluate(ctx, target)
		<-p.probeSlots
	})
}

// recordPause raises this node's awareness, which extends its probe times, when its own
// timers fire late.
func (p *Prober) recordPause(pause time.Duration) {
	if pause < pauseTolerance {
		return
	}
	p.counters.pauses.Inc(1)
	p.adjustAwareness(awareness.increased)
}

// evaluate probes a node and marks it suspect when neither this node nor a helper reaches it.
func (p *Prober) evaluate(ctx context.Context, target fleet.Member) {
	if p.probeTarget(ctx, target) != resultUnreachable || ctx.Err() != nil {
		return
	}
	current, found := p.roster.Member(target.ID)
	if !found || current.Incarnation != target.Incarnation || !reachable(current) {
		return
	}
	p.suspect(current)
}

// probeResult is the result of the direct and indirect probes of a node.
type probeResult int

const (
	// resultReachable means that this node or a helper reached it.
	resultReachable probeResult = iota + 1
	// resultUnreachable means that this node and a helper failed to reach it.
	resultUnreachable
	// resultUnknown means that the probe was inconclusive: this node was paused, or no helper responded.
	resultUnknown
)

// probeTarget probes a node directly and then through helpers.
func (p *Prober) probeTarget(ctx context.Context, target fleet.Member) probeResult {
	timeout := p.currentAwareness().scale(p.timeout)
	_, err := p.probeDirect(ctx, target, timeout)
	if err == nil {
		p.adjustAwareness(awareness.decreased)
		return resultReachable
	}
	if fault.KindOf[Kind](err) == KindSlow {
		return p.inconclusive()
	}
	helpers := p.choosePeers(indirectProbeCount, func(m fleet.Member) bool { return m.ID != target.ID })
	if len(helpers) == 0 {
		return resultUnreachable
	}
	started := p.clock.Now()
	reached, failed := p.probeThroughHelpers(ctx, helpers, target, timeout)
	switch {
	case reached > 0:
		return resultReachable
	case failed == 0 || p.clock.Since(started) > 2*timeout+pauseTolerance:
		return p.inconclusive()
	default:
		return resultUnreachable
	}
}

// inconclusive records that this node could not evaluate another one reliably.
func (p *Prober) inconclusive() probeResult {
	p.counters.withheld.Inc(1)
	p.adjustAwareness(awareness.increased)
	return resultUnknown
}

// probeDirect probes a node directly and returns its incarnation.
func (p *Prober) probeDirect(ctx context.Context, target fleet.Member, timeout time.Duration) (uint64, error) {
	started := p.clock.Now()
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	gossip := p.gossip(nil)
	p.appendReceiverState(gossip, target.ID, target.Incarnation)
	p.counters.probes.Inc(1)
	response, err := p.transport.Probe(limited, target.PeerAddress, &cowsliptallyv1.ProbeRequest{
		From:   translator.MemberToMessage(p.Self()),
		Gossip: gossip,
	})
	if err != nil {
		p.counters.failures.Inc(1)
		if p.clock.Since(started) > timeout+pauseTolerance {
			return 0, fault.New("probe", KindSlow, "time limit of %s noticed after %s",
				timeout, p.clock.Since(started))
		}
		return 0, fault.New("probe", KindUnreachable, "node %q at %s: %w",
			target.ID, target.PeerAddress, err)
	}
	p.handleExchange(response.GetFrom(), response.GetGossip())
	if target.ID != "" && response.GetFrom().GetId() != string(target.ID) {
		return 0, fault.New("probe", KindUnreachable, "address %s of node %q belongs to node %q now",
			target.PeerAddress, target.ID, response.GetFrom().GetId())
	}
	return response.GetFrom().GetIncarnation(), nil
}

// probeThroughHelpers probes a node through helpers concurrently and returns how many
// reached it and how many failed to.
func (p *Prober) probeThroughHelpers(
	ctx context.Context, helpers []fleet.Member, target fleet.Member, timeout time.Duration,
) (reached, failed int) {
	ctx, cancel := context.WithTimeout(ctx, 2*timeout)
	defer cancel()
	request := &cowsliptallyv1.ProbeIndirectRequest{
		Target:    translator.MemberToMessage(target),
		TimeoutMs: uint32(timeout.Milliseconds()),
	}
	responses := make(chan *cowsliptallyv1.ProbeIndirectResponse, len(helpers))
	for _, helper := range helpers {
		p.counters.indirect.Inc(1)
		go func() {
			response, err := p.transport.ProbeIndirect(ctx, helper.PeerAddress, request)
			if err != nil {
				response = nil
			}
			responses <- response
		}()
	}
	for range helpers {
		response := <-responses
		switch {
		case response == nil:
		case response.GetAlive():
			return 1, failed
		default:
			failed++
		}
	}
	return 0, failed
}

func (p *Prober) currentAwareness() awareness {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.awareness
}

func (p *Prober) adjustAwareness(change func(awareness) awareness) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awareness = change(p.awareness)
}
