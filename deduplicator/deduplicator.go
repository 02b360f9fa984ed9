// Package deduplicator grants each idempotency key at most once. It does no I/O.
//
// Only this process grants a key that names this node ("node~NODE~..."), whatever the
// membership. Any other key is granted by the first node in rendezvous order among all
// nodes that were members since the earliest time at which the key can have been used;
// if a change of membership since then may have moved the key, it is refused.
package deduplicator

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

// Deduplicator remembers the keys that this node granted. It is safe for concurrent use.
type Deduplicator struct {
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
	// floor is the time of the newest removed grant.
	floor time.Duration
	// gapless is the time since which the membership was updated without a gap.
	gapless time.Duration
	// updated is the time of the last update of the membership.
	updated time.Duration
	// members holds the nodes that were members within the window and the margin; indexes
	// holds each one's index.
	members []member
	indexes map[fleet.NodeID]int
}

// New returns a deduplicator for one run of a node.
func New(node fleet.NodeID, clock clockwork.Clock, options ...Option) *Deduplicator {
	g := &Deduplicator{
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
		indexes:  make(map[fleet.NodeID]int),
	}
	for _, option := range options {
		option(g)
	}
	g.markMember(node, 0)
	return g
}

// Issue returns a new key that only this process can grant.
func (g *Deduplicator) Issue() string {
	return formatKey(g.node, g.clock.Since(g.start), uuid.NewString())
}

// UpdateMembers updates the nodes that are members. It must be called at least once a second.
func (g *Deduplicator) UpdateMembers(members []fleet.NodeID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Since(g.start)
	if now-g.updated > g.pause {
		g.gapless = now
	}
	g.updated = now
	for _, node := range members {
		g.markMember(node, now)
	}
	g.markMember(g.node, now)
	g.removeNodes(now)
}

// markMember records that a node is a member.
func (g *Deduplicator) markMember(node fleet.NodeID, now time.Duration) {
	index, found := g.indexes[node]
	if !found {
		index = len(g.members)
		g.indexes[node] = index
		g.members = append(g.members, member{node: node, hash: xxhash.Sum64String(string(node))})
	}
	g.members[index].last = now
}

// removeNodes removes the nodes on which no key can depend any more.
func (g *Deduplicator) removeNodes(now time.Duration) {
	for index := 0; index < len(g.members); {
		if g.members[index].last >= now-g.window-g.margin {
			index++
			continue
		}
		last := len(g.members) - 1
		delete(g.indexes, g.members[index].node)
		if index != last {
			g.members[index] = g.members[last]
			g.indexes[g.members[index].node] = index
		}
		g.members = g.members[:last]
	}
}

// ResponsibleNode returns the node that is responsible for a key.
func (g *Deduplicator) ResponsibleNode(key string) fleet.NodeID {
	if named, found := parseKey(key); found {
		return named.node
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.first(key, g.updated)
}

// Grant grants a key to a holder, at most once.
func (g *Deduplicator) Grant(service fleet.ServiceName, key, holder string) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Since(g.start)
	g.removeExpired(now)
	scoped := scope(service, key)
	if _, found := g.grants[scoped]; found {
		return Decision{Reason: fleet.ReasonDuplicate}
	}
	if !g.responsible(key, now) {
		return Decision{Reason: fleet.ReasonDeduplicator}
	}
	if len(g.grants) >= g.capacity {
		g.remove(g.order.Front())
		if !g.responsible(key, now) {
			return Decision{Reason: fleet.ReasonDeduplicator}
		}
	}
	g.grants[scoped] = g.order.PushBack(&grant{key: scoped, holder: holder, at: now})
	return Decision{Granted: true}
}

// Release revokes the grant of a holder whose request did not run and never will.
func (g *Deduplicator) Release(service fleet.ServiceName, key, holder string) {
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
func (g *Deduplicator) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.grants)
}

// responsible reports whether this node would hold every earlier grant of the key.
func (g *Deduplicator) responsible(key string, now time.Duration) bool {
	if named, found := parseKey(key); found {
		return named.node == g.node && named.issued <= now &&
			named.issued > g.floor && named.issued >= now-g.window
	}
	horizon, valid := g.horizon(key, now)
	if !valid || horizon <= g.floor || horizon < g.gapless || now-g.updated > g.pause {
		return false
	}
	return g.first(key, horizon) == g.node
}

// horizon returns the earliest time at which the key can have been used, by this node's clock.
func (g *Deduplicator) horizon(key string, now time.Duration) (time.Duration, bool) {
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

// first returns the first node in rendezvous order among the members since horizon.
func (g *Deduplicator) first(key string, horizon time.Duration) fleet.NodeID {
	hash := xxhash.Sum64String(key)
	best, bestScore := g.node, uint64(0)
	for _, m := range g.members {
		if m.last < horizon {
			continue
		}
		score := mix(hash ^ m.hash)
		if score > bestScore || score == bestScore && m.node > best {
			best, bestScore = m.node, score
		}
	}
	return best
}

func (g *Deduplicator) removeExpired(now time.Duration) {
	for front := g.order.Front(); front != nil; front = g.order.Front() {
		if front.Value.(*grant).at >= now-g.window {
			return
		}
		g.remove(front)
	}
}

func (g *Deduplicator) remove(element *list.Element) {
	removed := element.Value.(*grant)
	g.floor = max(g.floor, removed.at)
	delete(g.grants, removed.key)
	g.order.Remove(element)
}

// scope returns a key with its service, so that the keys of different services are
// distinct; a named key is one key everywhere.
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
