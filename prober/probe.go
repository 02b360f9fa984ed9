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
	// helperCount is the number of nodes through which an unanswered one is probed.
	helperCount = 3
	// slack is how late an answer's time limit may be noticed before this node
	// counts itself as paused.
	slack = 200 * time.Millisecond
)

// runProbes probes one node each interval.
func (p *Prober) runProbes(ctx context.Context) error {
	var duties sync.WaitGroup
	defer duties.Wait()
	for {
		interval := p.own().scale(p.interval)
		started := p.clock.Now()
		if !p.sleep(ctx, interval) {
			return ctx.Err()
		}
		p.notePause(p.clock.Since(started) - interval)
		target, found := p.nextTarget()
		if found {
			p.launch(ctx, &duties, target)
		}
	}
}

// launch judges a node beside others, unless too many probes run already.
func (p *Prober) launch(ctx context.Context, duties *sync.WaitGroup, target fleet.Member) {
	select {
	case p.probing <- struct{}{}:
	default:
		return
	}
	duties.Go(func() {
		p.judge(ctx, target)
		<-p.probing
	})
}

// notePause makes this node slower to judge when its own timers fire late.
func (p *Prober) notePause(pause time.Duration) {
	if pause < slack {
		return
	}
	p.counters.pauses.Inc(1)
	p.adjust(awareness.worse)
}

// judge probes a node and suspects it when neither this node nor a helper reaches it.
func (p *Prober) judge(ctx context.Context, target fleet.Member) {
	if p.test(ctx, target) != verdictUnreachable || ctx.Err() != nil {
		return
	}
	current, found := p.roster.Member(target.ID)
	if !found || current.Incarnation != target.Incarnation || !reachable(current) {
		return
	}
	p.suspect(current)
}

// verdict is what one direct and indirect test of a node showed.
type verdict int

const (
	// verdictReachable means that this node or a helper reached it.
	verdictReachable verdict = iota + 1
	// verdictUnreachable means that this node and a helper failed to reach it.
	verdictUnreachable
	// verdictUnknown means that this node cannot judge: it was paused, or no helper answered.
	verdictUnknown
)

// test probes a node directly and then through helpers.
func (p *Prober) test(ctx context.Context, target fleet.Member) verdict {
	timeout := p.own().scale(p.timeout)
	_, err := p.ask(ctx, target, timeout)
	if err == nil {
		p.adjust(awareness.better)
		return verdictReachable
	}
	if fault.KindOf[Kind](err) == KindSlow {
		return p.withhold()
	}
	helpers := p.choose(helperCount, func(m fleet.Member) bool { return m.ID != target.ID })
	if len(helpers) == 0 {
		return verdictUnreachable
	}
	started := p.clock.Now()
	reached, denied := p.askHelpers(ctx, helpers, target, timeout)
	switch {
	case reached > 0:
		return verdictReachable
	case denied == 0 || p.clock.Since(started) > 2*timeout+slack:
		return p.withhold()
	default:
		return verdictUnreachable
	}
}

// withhold notes that this node is not fit to judge another.
func (p *Prober) withhold() verdict {
	p.counters.withheld.Inc(1)
	p.adjust(awareness.worse)
	return verdictUnknown
}

// ask probes a node directly and returns its incarnation.
func (p *Prober) ask(ctx context.Context, target fleet.Member, timeout time.Duration) (uint64, error) {
	started := p.clock.Now()
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	gossip := p.gossip(nil)
	p.warn(gossip, target.ID, target.Incarnation)
	p.counters.probes.Inc(1)
	response, err := p.transport.Probe(limited, target.PeerAddress, &cowsliptallyv1.ProbeRequest{
		From:   translator.MemberToMessage(p.Self()),
		Gossip: gossip,
	})
	if err != nil {
		p.counters.failures.Inc(1)
		if p.clock.Since(started) > timeout+slack {
			return 0, fault.New("probe", KindSlow, "time limit of %s noticed after %s",
				timeout, p.clock.Since(started))
		}
		return 0, fault.New("probe", KindUnreachable, "node %q at %s: %w",
			target.ID, target.PeerAddress, err)
	}
	p.hear(response.GetFrom(), response.GetGossip())
	if target.ID != "" && response.GetFrom().GetId() != string(target.ID) {
		return 0, fault.New("probe", KindUnreachable, "address %s of node %q belongs to node %q now",
			target.PeerAddress, target.ID, response.GetFrom().GetId())
	}
	return response.GetFrom().GetIncarnation(), nil
}

// askHelpers probes a node through others at the same time and returns how many
// reached it and how many tried in vain.
func (p *Prober) askHelpers(
	ctx context.Context, helpers []fleet.Member, target fleet.Member, timeout time.Duration,
) (reached, denied int) {
	ctx, cancel := context.WithTimeout(ctx, 2*timeout)
	defer cancel()
	request := &cowsliptallyv1.ProbeIndirectRequest{
		Target:    translator.MemberToMessage(target),
		TimeoutMs: uint32(timeout.Milliseconds()),
	}
	answers := make(chan *cowsliptallyv1.ProbeIndirectResponse, len(helpers))
	for _, helper := range helpers {
		p.counters.indirect.Inc(1)
		go func() {
			answer, err := p.transport.ProbeIndirect(ctx, helper.PeerAddress, request)
			if err != nil {
				answer = nil
			}
			answers <- answer
		}()
	}
	for range helpers {
		answer := <-answers
		switch {
		case answer == nil:
		case answer.GetAlive():
			return 1, denied
		default:
			denied++
		}
	}
	return 0, denied
}

func (p *Prober) own() awareness {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.awareness
}

func (p *Prober) adjust(change func(awareness) awareness) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awareness = change(p.awareness)
}
