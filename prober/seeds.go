package prober

import (
	"context"
	"slices"
	"sync"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// joinInterval is the time between attempts to find a first peer.
	joinInterval = 300 * time.Millisecond
	// joinSeeds bounds the seeds that are probed concurrently. When a whole fleet starts at
	// once, each node probing a few others connects them all.
	joinSeeds = 8
	// joinCompareInterval is the time between two comparisons of a node that has just joined,
	// and maxJoinComparisons bounds their number: when a whole fleet starts at once, the
	// entries that a node has double with each comparison.
	joinCompareInterval = time.Second
	maxJoinComparisons  = 15
	// reconnectInterval is the time between attempts to reach a seed or a dead node
	// that is not among the live peers, so that the parts of a healed partition reconnect.
	reconnectInterval = 10 * time.Second
)

// runSeeds joins the fleet through the seeds, and reconnects after a long partition.
func (p *Prober) runSeeds(ctx context.Context) error {
	for !p.join(ctx) {
		if !p.sleep(ctx, joinInterval) {
			return ctx.Err()
		}
	}
	p.catchUp(ctx)
	p.joined.Store(true)
	p.compareUntilEqual(ctx)
	for p.sleep(ctx, reconnectInterval) {
		p.reconnect(ctx)
	}
	return ctx.Err()
}

// AddSeeds adds peer addresses through which the node joins the fleet, and reconnects to it.
func (p *Prober) AddSeeds(addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		if !slices.Contains(p.seeds, address) {
			p.seeds = append(p.seeds, address)
		}
	}
}

// Contact adds peer addresses, probes some that are not those of live peers, and compares
// tables with these, as each side may know nodes that the other does not.
func (p *Prober) Contact(ctx context.Context, addresses []string) {
	p.AddSeeds(addresses...)
	reached, _ := p.probeSeeds(ctx)
	for _, address := range reached {
		for range joinRounds {
			if p.compare(ctx, fleet.Member{PeerAddress: address}, joinCalls).equal {
				break
			}
		}
	}
}

// LastExchange returns the time of the latest exchange with another node, or the zero time if
// there was none.
func (p *Prober) LastExchange() time.Time {
	if last := p.lastExchange.Load(); last != nil {
		return *last
	}
	return time.Time{}
}

// Joined reports whether the node has joined the fleet, or is its first node.
func (p *Prober) Joined() bool { return p.joined.Load() }

// compareUntilEqual compares tables with random nodes until they are equal to those of two nodes in a row, or of all.
func (p *Prober) compareUntilEqual(ctx context.Context) {
	equal := make(map[string]bool)
	for range maxJoinComparisons {
		if !p.sleep(ctx, joinCompareInterval) {
			return
		}
		chosen := p.choosePeers(1, func(m fleet.Member) bool { return !equal[m.PeerAddress] })
		if len(chosen) == 0 && len(equal) > 0 {
			return
		}
		if len(chosen) == 0 {
			continue
		}
		switch result := p.compare(ctx, chosen[0], steadyCalls); {
		case result.joining: // it proves nothing
		case result.equal:
			equal[chosen[0].PeerAddress] = true
		default:
			clear(equal)
		}
		if len(equal) == 2 {
			return
		}
	}
}

// join probes some seeds concurrently and reports whether this node has a peer or there
// is no other seed.
func (p *Prober) join(ctx context.Context) bool {
	_, probed := p.probeSeeds(ctx)
	return len(p.peers()) > 0 || probed == 0
}

// probeSeeds probes some seeds that are not live peers concurrently. It returns those that
// answered, and how many it probed.
func (p *Prober) probeSeeds(ctx context.Context) (reached []string, probed int) {
	seeds := p.unconnectedSeeds()
	p.shuffle(seeds)
	seeds = seeds[:min(len(seeds), joinSeeds)]
	answered := make([]bool, len(seeds))
	var probes sync.WaitGroup
	for i, address := range seeds {
		probes.Go(func() {
			_, err := p.probeDirect(ctx, fleet.Member{PeerAddress: address}, p.timeout)
			answered[i] = err == nil
		})
	}
	probes.Wait()
	for i, address := range seeds {
		if answered[i] {
			reached = append(reached, address)
		}
	}
	return reached, len(seeds)
}

// reconnect probes one seed that is no live node's address, and one dead node.
func (p *Prober) reconnect(ctx context.Context) {
	if seeds := p.unconnectedSeeds(); len(seeds) > 0 {
		_, _ = p.probeDirect(ctx, fleet.Member{PeerAddress: seeds[p.randomIndex(len(seeds))]}, p.timeout)
	}
	var dead []fleet.Member
	for _, m := range p.roster.Members() {
		if m.State == fleet.MemberDead && m.PeerAddress != "" {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		_, _ = p.probeDirect(ctx, dead[p.randomIndex(len(dead))], p.timeout)
	}
}

// unconnectedSeeds returns the seeds that are neither this node's address nor a live peer's.
func (p *Prober) unconnectedSeeds() []string {
	seen := map[string]bool{p.Self().PeerAddress: true}
	for _, m := range p.peers() {
		seen[m.PeerAddress] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
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

func (p *Prober) randomIndex(count int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(count)
}
