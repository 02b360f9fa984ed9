// Package ranker chooses the home node of each organisation.
//
// It addresses quotas under changes of membership: kills, partitions and restarts move the home
// of an organisation, and each node must know for how much of the rate it may answer. Nodes are
// ordered by rendezvous hash, so that a change moves only the organisations of the nodes concerned.
package ranker

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// MaxOrder is the number of nodes that are known to an asker: more than the calls that it makes.
	MaxOrder = 4
	// LossRetention is how long a lost node counts as one of all nodes.
	LossRetention = 60 * time.Second
	// PairRetention is how long the loss of one of the first two nodes reduces what the
	// others grant. In a partition both sides have found each other's nodes dead by then.
	PairRetention = 4 * time.Second
	// healTime is how long a lost node that is live again, or replaced, still counts as lost. Others notice the end
	// of a partition later, and go on to ask the home nodes of their side until then.
	healTime = 4 * time.Second
	// maxPlaces bounds the cached places.
	maxPlaces = 1 << 13
)

// Ranker orders the nodes of the fleet for each organisation. Times are elapsed times of this
// node. It is safe for concurrent use.
type Ranker struct {
	self fleet.NodeID

	mu     sync.Mutex
	live   []fleet.Member
	hashes []uint64
	lost   map[fleet.NodeID]loss
	// healed holds the nodes that were lost and are live again, with the time until which they
	// still count as lost.
	healed map[fleet.NodeID]time.Duration
	// excluded holds the nodes that do not know the call. An upgraded one has a new identifier.
	excluded map[fleet.NodeID]bool
	// expected holds the addresses of nodes that this one was told of at its start.
	expected      []string
	expectedUntil time.Duration
	share         float64
	nodes         int
	now           time.Duration
	places        map[fleet.Organisation]*Place
}

// New returns a ranker of a node that knows no member yet.
func New(self fleet.NodeID) *Ranker {
	return &Ranker{
		self:     self,
		lost:     make(map[fleet.NodeID]loss),
		healed:   make(map[fleet.NodeID]time.Duration),
		excluded: make(map[fleet.NodeID]bool),
		places:   make(map[fleet.Organisation]*Place),
	}
}

// Exclude leaves out a node that does not know the call, as those of an older build.
func (r *Ranker) Exclude(id fleet.NodeID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excluded[id] = true
	r.setLive(slices.DeleteFunc(r.live, func(m fleet.Member) bool { return m.ID == id }), r.now)
}

// Expect counts the nodes at these addresses as lost until they are live, for LossRetention. A node
// that starts while it is cut off from some nodes would not count them otherwise.
func (r *Ranker) Expect(addresses []string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected, r.expectedUntil = addresses, now+LossRetention
}

// Update reads the members of the fleet. It must be called more often than losses are to be noticed.
func (r *Ranker) Update(members []fleet.Member, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(members, now)
	r.recordReturns(members, now)
	var live []fleet.Member
	addresses := make(map[string]bool, len(members))
	alive := 0
	for _, m := range members {
		if !m.IsLive() {
			continue
		}
		addresses[m.PeerAddress] = true
		if m.State == fleet.MemberAlive && now >= r.healed[m.ID] {
			alive++
		}
		if !r.excluded[m.ID] {
			live = append(live, m)
		}
	}
	r.recordLosses(members, now)
	r.countShare(alive, addresses, now)
	r.setLive(live, now)
}

// forget removes losses and exclusions that no longer count.
func (r *Ranker) forget(members []fleet.Member, now time.Duration) {
	for id, l := range r.lost {
		if now-l.at > LossRetention {
			delete(r.lost, id)
		}
	}
	maps.DeleteFunc(r.healed, func(_ fleet.NodeID, until time.Duration) bool { return now > until })
	maps.DeleteFunc(r.excluded, func(id fleet.NodeID, _ bool) bool {
		return !slices.ContainsFunc(members, func(m fleet.Member) bool { return m.ID == id })
	})
}

// recordReturns records the nodes that were lost and are live again, and the new processes at the
// addresses of lost ones.
func (r *Ranker) recordReturns(members []fleet.Member, now time.Duration) {
	if len(r.lost) == 0 {
		return
	}
	addresses := make(map[string]bool, len(r.lost))
	for _, l := range r.lost {
		addresses[l.member.PeerAddress] = true
	}
	known := make(map[fleet.NodeID]bool, len(r.live))
	for _, m := range r.live {
		known[m.ID] = true
	}
	for _, m := range members {
		if m.IsLive() && !known[m.ID] && addresses[m.PeerAddress] {
			r.healed[m.ID] = now + healTime
		}
		if m.IsLive() {
			delete(r.lost, m.ID)
		}
	}
}

// recordLosses records the nodes that were live at the last update and are dead now.
func (r *Ranker) recordLosses(members []fleet.Member, now time.Duration) {
	before := make(map[fleet.NodeID]fleet.Member, len(r.live))
	for _, m := range r.live {
		before[m.ID] = m
	}
	for _, m := range members {
		if m.State != fleet.MemberDead {
			continue
		}
		if known, found := before[m.ID]; found {
			r.lost[m.ID] = loss{member: known, at: now}
		}
	}
	for _, m := range members {
		if m.State == fleet.MemberLeft {
			delete(r.lost, m.ID)
		}
	}
}

// countShare sets the part of the rate that alive nodes may grant. A suspect counts as lost: a
// partition is then noticed seconds sooner than by deaths. A lost node that was replaced at
// its address does not count twice.
func (r *Ranker) countShare(alive int, addresses map[string]bool, now time.Duration) {
	for _, l := range r.lost {
		addresses[l.member.PeerAddress] = true
	}
	if now < r.expectedUntil {
		for _, address := range r.expected {
			addresses[address] = true
		}
	}
	r.nodes = max(len(addresses), 1)
	r.share = min(1, float64(max(alive, 1))/float64(r.nodes))
}

// setLive replaces the live nodes and drops the cached places when something changed.
func (r *Ranker) setLive(live []fleet.Member, now time.Duration) {
	slices.SortFunc(live, func(a, b fleet.Member) int { return cmp.Compare(a.ID, b.ID) })
	r.live, r.now = live, now
	r.hashes = r.hashes[:0]
	for _, m := range live {
		r.hashes = append(r.hashes, xxhash.Sum64String(string(m.ID)))
	}
	clear(r.places)
}

// Nodes returns the number of all nodes, including those lost recently.
func (r *Ranker) Nodes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.nodes, 1)
}

// Knows reports whether a node is live and was not excluded.
func (r *Ranker) Knows(id fleet.NodeID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.live, func(m fleet.Member) bool { return m.ID == id })
}

// Place returns the position of this node for an organisation.
func (r *Ranker) Place(organisation fleet.Organisation) *Place {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, found := r.places[organisation]; found {
		return p
	}
	if len(r.places) >= maxPlaces {
		clear(r.places)
	}
	p := r.place(xxhash.Sum64String(string(organisation)))
	r.places[organisation] = p
	return p
}

func (r *Ranker) place(organisation uint64) *Place {
	var best []scored
	for i, m := range r.live {
		best = insert(best, scored{member: m, score: mix(organisation, r.hashes[i])})
	}
	p := &Place{Rank: MaxOrder, Share: r.share, Nodes: r.nodes}
	for i, s := range best {
		p.Order = append(p.Order, s.member)
		if s.member.ID == r.self {
			p.Rank = i
		}
	}
	before := best
	for id, l := range r.lost {
		if r.now-l.at <= PairRetention {
			before = insert(slices.Clone(before), scored{member: l.member, score: mix(organisation, xxhash.Sum64String(string(id))), lost: true, at: l.at})
		}
	}
	for _, s := range before[:min(2, len(before))] {
		p.WasPair = p.WasPair || s.member.ID == r.self
		p.PastLost = p.PastLost || s.lost
		if s.lost && !r.replaced(s.member) {
			p.PairLost, p.LostAt = true, max(p.LostAt, s.at)
		}
	}
	return p
}

// replaced reports whether a live node has the address of a lost one, whose process has then ended.
func (r *Ranker) replaced(lost fleet.Member) bool {
	return slices.ContainsFunc(r.live, func(m fleet.Member) bool { return m.PeerAddress == lost.PeerAddress })
}

// insert adds a node to those of the highest scores.
func insert(best []scored, s scored) []scored {
	i := len(best)
	for i > 0 && best[i-1].score < s.score {
		i--
	}
	if i == MaxOrder {
		return best
	}
	best = slices.Insert(best, i, s)
	return best[:min(len(best), MaxOrder)]
}

// mix returns the score of a node for an organisation (the finaliser of splitmix64).
func mix(organisation, node uint64) uint64 {
	x := organisation ^ (node * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
