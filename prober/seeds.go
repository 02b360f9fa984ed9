package prober

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// joinInterval is the time between attempts to find a first peer.
	joinInterval = time.Second
	// reconnectInterval is the time between attempts to reach a seed or a dead node
	// that this node does not see, so that parts that were cut off find each other.
	reconnectInterval = 10 * time.Second
)

// runSeeds finds the fleet through the seeds, and again after a long cut.
func (p *Prober) runSeeds(ctx context.Context) error {
	for !p.join(ctx) {
		if !p.sleep(ctx, joinInterval) {
			return ctx.Err()
		}
	}
	p.catchUp(ctx)
	p.joined.Store(true)
	for p.sleep(ctx, reconnectInterval) {
		p.reconnect(ctx)
	}
	return ctx.Err()
}

// AddSeeds adds peer addresses by which the node finds the fleet; it is to be called before Run.
func (p *Prober) AddSeeds(addresses ...string) {
	p.seeds = append(p.seeds, addresses...)
}

// Heard returns when another node was heard of last; the zero time before.
func (p *Prober) Heard() time.Time {
	if heard := p.heard.Load(); heard != nil {
		return *heard
	}
	return time.Time{}
}

// Joined reports whether the node found the fleet, or is the first of it.
func (p *Prober) Joined() bool { return p.joined.Load() }

// join probes all seeds at the same time and reports whether this node knows a
// peer or is the only one.
func (p *Prober) join(ctx context.Context) bool {
	seeds := p.unseen()
	answers := make(chan struct{}, len(seeds))
	for _, address := range seeds {
		go func() {
			_, _ = p.ask(ctx, fleet.Member{PeerAddress: address}, p.timeout)
			answers <- struct{}{}
		}()
	}
	for range seeds {
		<-answers
	}
	return len(p.peers()) > 0 || len(seeds) == 0
}

// reconnect probes one seed that no live node has as its address, and one dead node.
func (p *Prober) reconnect(ctx context.Context) {
	if seeds := p.unseen(); len(seeds) > 0 {
		_, _ = p.ask(ctx, fleet.Member{PeerAddress: seeds[p.pick(len(seeds))]}, p.timeout)
	}
	var dead []fleet.Member
	for _, m := range p.roster.Members() {
		if m.State == fleet.MemberDead && m.PeerAddress != "" {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		_, _ = p.ask(ctx, dead[p.pick(len(dead))], p.timeout)
	}
}

// unseen returns the seeds that are neither this node's address nor a live peer's.
func (p *Prober) unseen() []string {
	seen := map[string]bool{p.Self().PeerAddress: true}
	for _, m := range p.peers() {
		seen[m.PeerAddress] = true
	}
	var seeds []string
	for _, address := range p.seeds {
		if !seen[address] {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

func (p *Prober) pick(count int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(count)
}
