package prober

import (
	"cowsliptally.example/cowsliptally/fleet"
)

// peers returns the other nodes that are alive or suspect; the slice is shared.
func (p *Prober) peers() []fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peersLocked()
}

func (p *Prober) peersLocked() []fleet.Member {
	if !p.peersStale {
		return p.cachedPeers
	}
	p.peersStale = false
	var live []fleet.Member
	for _, m := range p.roster.Members() {
		if m.ID != p.node && reachable(m) {
			live = append(live, m)
		}
	}
	p.cachedPeers = live
	return live
}

// Nodes returns the number of nodes that are alive or suspect in the table, including this one.
func (p *Prober) Nodes() int {
	return len(p.peers()) + 1
}

// choosePeers returns up to count random peers that satisfy wanted. It passes over an earlier node at this node's
// address, which is held for alive until its death is known: what is sent there comes back to this node.
func (p *Prober) choosePeers(count int, wanted func(fleet.Member) bool) []fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.peersLocked()
	var chosen []fleet.Member
	for _, i := range p.random.Perm(len(live)) {
		if len(chosen) == count {
			break
		}
		if live[i].PeerAddress != p.self.PeerAddress && wanted(live[i]) {
			chosen = append(chosen, live[i])
		}
	}
	return chosen
}

// nextTarget returns the next node to probe.
func (p *Prober) nextTarget() (fleet.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	refill := func() []fleet.NodeID {
		live := p.peersLocked()
		ids := make([]fleet.NodeID, 0, len(live))
		for _, m := range live {
			ids = append(ids, m.ID)
		}
		return ids
	}
	wanted := func(id fleet.NodeID) bool {
		m, found := p.roster.Member(id)
		return found && reachable(m)
	}
	id, found := p.rotation.next(p.random, refill, wanted)
	if !found {
		return fleet.Member{}, false
	}
	return p.roster.Member(id)
}

// reachable reports whether a node is alive or suspect and has a peer address.
func reachable(m fleet.Member) bool {
	return m.IsLive() && m.PeerAddress != ""
}

func anyPeer(fleet.Member) bool { return true }
