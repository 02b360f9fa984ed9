package prober

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// joinInterval is the time between attempts to find a first peer.
	joinInterval = 300 * time.Millisecond
	// joinSeeds bounds the seeds that are asked at a time. When a whole fleet starts at
	// once, each node asking a few others connects them all.
	joinSeeds = 8
	// settleInterval is the time between two comparisons of a node that has just joined,
	// and settleRounds bounds their number: what a node learns doubles with each when a
	// whole fleet starts at once.
	settleInterval = time.Second
	settleRounds   = 15
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
	p.settle(ctx)
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

// settle compares tables with random nodes until they are equal twice in a row.
func (p *Prober) settle(ctx context.Context) {
	equal := 0
	for range settleRounds {
		if !p.sleep(ctx, settleInterval) {
			return
		}
		chosen := p.choose(1, anyone)
		switch {
		case len(chosen) == 0:
		case p.compare(ctx, chosen[0], steadyCalls):
			equal++
		default:
			equal = 0
		}
		if equal == 2 {
			return
		}
	}
}

// join probes some seeds at the same time and reports whether this node knows a
// peer or is the only one.
func (p *Prober) join(ctx context.Context) bool {
	seeds := p.unseen()
	p.shuffle(seeds)
	seeds = seeds[:min(len(seeds), joinSeeds)]
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

func (p *Prober) shuffle(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

func (p *Prober) pick(count int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(count)
}
