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
	d := &Deduplicator{
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
		option(d)
	}
	d.markMember(node, 0)
	return d
}

// Issue returns a new key that only this process can grant.
func (d *Deduplicator) Issue() string {
	return formatKey(d.node, d.clock.Since(d.start), uuid.NewString())
}

// UpdateMembers updates the nodes that are members. It must be called at least once a second.
func (d *Deduplicator) UpdateMembers(members []fleet.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Since(d.start)
	if now-d.updated > d.pause {
		d.gapless = now
	}
	d.updated = now
	for _, node := range members {
		d.markMember(node, now)
	}
	d.markMember(d.node, now)
	d.removeNodes(now)
}

// markMember records that a node is a member.
func (d *Deduplicator) markMember(node fleet.NodeID, now time.Duration) {
	index, found := d.indexes[node]
	if !found {
		index = len(d.members)
		d.indexes[node] = index
		d.members = append(d.members, member{node: node, hash: xxhash.Sum64String(string(node))})
	}
	d.members[index].last = now
}

// removeNodes removes the nodes on which no key can depend any more.
func (d *Deduplicator) removeNodes(now time.Duration) {
	for index := 0; index < len(d.members); {
		if d.members[index].last >= now-d.window-d.margin {
			index++
			continue
		}
		last := len(d.members) - 1
		delete(d.indexes, d.members[index].node)
		if index != last {
			d.members[index] = d.members[last]
			d.indexes[d.members[index].node] = index
		}
		d.members = d.members[:last]
	}
}

// ResponsibleNode returns the node that is responsible for a key.
func (d *Deduplicator) ResponsibleNode(key string) fleet.NodeID {
	if named, found := parseKey(key); found {
		return named.node
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.first(key, d.updated)
}

// Grant grants a key to a holder, at most once.
func (d *Deduplicator) Grant(service fleet.ServiceName, key, holder string) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Since(d.start)
	d.removeExpired(now)
	scoped := scope(service, key)
	if _, found := d.grants[scoped]; found {
		return Decision{Reason: fleet.ReasonDuplicate}
	}
	if !d.responsible(key, now) {
		return Decision{Reason: fleet.ReasonDeduplicator}
	}
	if len(d.grants) >= d.capacity {
		d.remove(d.order.Front())
		if !d.responsible(key, now) {
			return Decision{Reason: fleet.ReasonDeduplicator}
		}
	}
	d.grants[scoped] = d.order.PushBack(&grant{key: scoped, holder: holder, at: now})
	return Decision{Granted: true}
}

// Release revokes the grant of a holder whose request did not run and never will.
func (d *Deduplicator) Release(service fleet.ServiceName, key, holder string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	element, found := d.grants[scope(service, key)]
	if !found || element.Value.(*grant).holder != holder {
		return
	}
	delete(d.grants, scope(service, key))
	d.order.Remove(element)
}

// Len returns the number of keys remembered.
func (d *Deduplicator) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.grants)
}

// responsible reports whether this node would hold every earlier grant of the key.
func (d *Deduplicator) responsible(key string, now time.Duration) bool {
	if named, found := parseKey(key); found {
		return named.node == d.node && named.issued <= now &&
			named.issued > d.floor && named.issued >= now-d.window
	}
	horizon, valid := d.horizon(key, now)
	if !valid || horizon <= d.floor || horizon < d.gapless || now-d.updated > d.pause {
		return false
	}
	return d.first(key, horizon) == d.node
}

// horizon returns the earliest time at which the key can have been used, by this node's clock.
func (d *Deduplicator) horizon(key string, now time.Duration) (time.Duration, bool) {
	stamped, dated := keyTime(key)
	if !dated {
		return now - d.window, true
	}
	stamp := stamped.Sub(d.start)
	if stamp > now+d.margin {
		return 0, false
	}
	return stamp - d.margin, true
}

// first returns the first node in rendezvous order among the members since horizon.
func (d *Deduplicator) first(key string, horizon time.Duration) fleet.NodeID {
	hash := xxhash.Sum64String(key)
	best, bestScore := d.node, uint64(0)
	for _, m := range d.members {
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

func (d *Deduplicator) removeExpired(now time.Duration) {
	for front := d.order.Front(); front != nil; front = d.order.Front() {
		if front.Value.(*grant).at >= now-d.window {
			return
		}
		d.remove(front)
	}
}

func (d *Deduplicator) remove(element *list.Element) {
	removed := element.Value.(*grant)
	d.floor = max(d.floor, removed.at)
	delete(d.grants, removed.key)
	d.order.Remove(element)
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
