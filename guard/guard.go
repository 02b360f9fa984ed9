// Package guard grants each idempotency key at most once. It does no I/O.
//
// A key that names this node ("node~NODE~...") is guarded by this process alone,
// whatever the membership. Any other key is guarded by the first node in
// rendezvous order among all members seen since the key can have been used; when
// a change of membership since then may have moved the key, it is refused.
package guard

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

// Guard remembers the keys that this node granted. It is safe for concurrent use.
type Guard struct {
	node     fleet.NodeID
	clock    clockwork.Clock
	start    time.Time
	window   time.Duration
	margin   time.Duration
	pause    time.Duration
	capacity int

	mu     sync.Mutex
	grants map[string]*list.Element
	order  *list.List
	// floor is the time of the youngest grant forgotten.
	floor time.Duration
	// whole is the time since which the membership was followed without a gap.
	whole   time.Duration
	watched time.Duration
	// seen holds the nodes that were members within the window, and places their index.
	seen   []sighting
	places map[fleet.NodeID]int
}

// New returns a guard for one run of a node.
func New(node fleet.NodeID, clock clockwork.Clock, options ...Option) *Guard {
	g := &Guard{
		node:     node,
		clock:    clock,
		start:    clock.Now(),
		window:   DefaultWindow,
		margin:   DefaultMargin,
		pause:    DefaultPause,
		capacity: DefaultCapacity,
		grants:   make(map[string]*list.Element),
		order:    list.New(),
		floor:    -1,
		places:   make(map[fleet.NodeID]int),
	}
	for _, option := range options {
		option(g)
	}
	g.see(node, 0)
	return g
}

// Issue returns a new key that only this process can grant.
func (g *Guard) Issue() string {
	return formatKey(g.node, g.clock.Since(g.start), uuid.NewString())
}

// Watch tells the guard which nodes are members; call it at least once a second.
func (g *Guard) Watch(members []fleet.NodeID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Since(g.start)
	if now-g.watched > g.pause {
		g.whole = now
	}
	g.watched = now
	for _, node := range members {
		g.see(node, now)
	}
	g.see(g.node, now)
	g.forgetNodes(now)
}

// see notes that a node is a member.
func (g *Guard) see(node fleet.NodeID, now time.Duration) {
	place, found := g.places[node]
	if !found {
		place = len(g.seen)
		g.places[node] = place
		g.seen = append(g.seen, sighting{node: node, hash: xxhash.Sum64String(string(node))})
	}
	g.seen[place].last = now
}

// forgetNodes drops the nodes that no key can depend on any more.
func (g *Guard) forgetNodes(now time.Duration) {
	for place := 0; place < len(g.seen); {
		if g.seen[place].last >= now-g.window-g.margin {
			place++
			continue
		}
		last := len(g.seen) - 1
		delete(g.places, g.seen[place].node)
		if place != last {
			g.seen[place] = g.seen[last]
			g.places[g.seen[place].node] = place
		}
		g.seen = g.seen[:last]
	}
}

// NodeFor returns the node to ask for a key.
func (g *Guard) NodeFor(key string) fleet.NodeID {
	if named, found := parseKey(key); found {
		return named.node
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.first(key, g.watched)
}

// Grant gives a key to a holder once.
func (g *Guard) Grant(service fleet.ServiceName, key, holder string) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Since(g.start)
	g.forget(now)
	scoped := scope(service, key)
	if _, found := g.grants[scoped]; found {
		return Verdict{Reason: fleet.ReasonDuplicate}
	}
	if !g.knows(key, now) {
		return Verdict{Reason: fleet.ReasonGuard}
	}
	if len(g.grants) >= g.capacity {
		g.drop(g.order.Front())
		if !g.knows(key, now) {
			return Verdict{Reason: fleet.ReasonGuard}
		}
	}
	g.grants[scoped] = g.order.PushBack(&grant{key: scoped, holder: holder, at: now})
	return Verdict{Granted: true}
}

// Release takes a grant back from its holder, whose request did not run and never will.
func (g *Guard) Release(service fleet.ServiceName, key, holder string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	element, found := g.grants[scope(service, key)]
	if !found || element.Value.(*grant).holder != holder {
		return
	}
	delete(g.grants, scope(service, key))
	g.order.Remove(element)
}

// Len returns the number of keys remembered.
func (g *Guard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.grants)
}

// knows reports whether every earlier grant of the key would be in this memory.
func (g *Guard) knows(key string, now time.Duration) bool {
	if named, found := parseKey(key); found {
		return named.node == g.node && named.issued <= now &&
			named.issued > g.floor && named.issued >= now-g.window
	}
	horizon, valid := g.horizon(key, now)
	if !valid || horizon <= g.floor || horizon < g.whole || now-g.watched > g.pause {
		return false
	}
	return g.first(key, horizon) == g.node
}

// horizon returns the earliest time at which the key can have been used, by this node's clock.
func (g *Guard) horizon(key string, now time.Duration) (time.Duration, bool) {
	stamped, dated := keyTime(key)
	if !dated {
		return now - g.window, true
	}
	stamp := stamped.Sub(g.start)
	if stamp > now+g.margin {
		return 0, false
	}
	return stamp - g.margin, true
}

// first returns the highest of the rendezvous order among the members seen since horizon.
func (g *Guard) first(key string, horizon time.Duration) fleet.NodeID {
	hash := xxhash.Sum64String(key)
	best, bestScore := g.node, uint64(0)
	for _, s := range g.seen {
		if s.last < horizon {
			continue
		}
		score := mix(hash ^ s.hash)
		if score > bestScore || score == bestScore && s.node > best {
			best, bestScore = s.node, score
		}
	}
	return best
}

func (g *Guard) forget(now time.Duration) {
	for front := g.order.Front(); front != nil; front = g.order.Front() {
		if front.Value.(*grant).at >= now-g.window {
			return
		}
		g.drop(front)
	}
}

func (g *Guard) drop(element *list.Element) {
	dropped := element.Value.(*grant)
	g.floor = max(g.floor, dropped.at)
	delete(g.grants, dropped.key)
	g.order.Remove(element)
}

// scope keeps the keys of different services apart; a named key is one key everywhere.
func scope(service fleet.ServiceName, key string) string {
	return string(service) + "\x00" + key
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
