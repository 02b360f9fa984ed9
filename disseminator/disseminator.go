package disseminator

import "sync"

// Class is the kind of an entry: a member or a backend server.
type Class uint8

const (
	// ClassMember is a change of a node.
	ClassMember Class = iota + 1
	// ClassBackend is a change of a backend server.
	ClassBackend
)

// Key identifies the entry that changed. Its newest version is looked up when it is sent.
type Key struct {
	Class Class
	ID    string
}

// SkipEntry is returned as the size of an entry that the receiver of a message already has.
const SkipEntry = -1

// Disseminator queues changed entries, least-sent first. It is safe for concurrent use.
type Disseminator struct {
	// maxTransmissions returns how often an entry is sent in addition to its push, in a
	// fleet of the given size.
	maxTransmissions func(nodes int) int

	mu sync.Mutex
	// levels holds the keys by how often they were sent, oldest first. A key whose
	// count in sent differs from its level is stale and skipped.
	levels [][]Key
	sent   map[Key]int
	// unpushed holds the keys that were not pushed yet, oldest first.
	unpushed []Key
}

// New returns an empty disseminator; limit returns how often an entry is sent in addition
// to its push, in a fleet of the given size.
func New(limit func(nodes int) int) *Disseminator {
	return &Disseminator{maxTransmissions: limit, sent: make(map[Key]int)}
}

// Add queues an entry that changed, as never sent and not yet pushed.
func (d *Disseminator) Add(key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resetCount(key) {
		d.unpushed = append(d.unpushed, key)
	}
}

// AddWithoutPush queues an entry that changed, as never sent, but does not push it.
func (d *Disseminator) AddWithoutPush(key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resetCount(key)
}

// resetCount moves a key to the lowest level; it reports whether the key was not there yet.
func (d *Disseminator) resetCount(key Key) bool {
	if count, queued := d.sent[key]; queued && count == 0 {
		return false
	}
	d.insert(key, 0)
	return true
}

// Len returns the number of queued entries.
func (d *Disseminator) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.sent)
}

// UnpushedEntries returns entries that were not pushed yet, oldest first, whose sizes sum
// up to at most budget bytes. size returns an entry's bytes, or 0 when it no longer exists.
func (d *Disseminator) UnpushedEntries(budget int, size func(Key) int) []Key {
	d.mu.Lock()
	defer d.mu.Unlock()
	var taken []Key
	used := 0
	for _, key := range d.unpushed {
		bytes := size(key)
		if bytes > budget {
			break
		}
		used++
		if bytes > 0 {
			budget -= bytes
			taken = append(taken, key)
		}
	}
	d.unpushed = d.unpushed[used:]
	return taken
}

// NextEntries returns entries for one message, least-sent first, whose sizes sum up to at
// most budget bytes, and counts them as sent. size is as for UnpushedEntries,
// or returns SkipEntry; nodes is the fleet's size.
func (d *Disseminator) NextEntries(budget, nodes int, size func(Key) int) []Key {
	d.mu.Lock()
	defer d.mu.Unlock()
	var taken []Key
	for level := range d.levels {
		before := len(taken)
		taken = d.takeFromLevel(level, budget, taken, size)
		for _, key := range taken[before:] {
			budget -= size(key)
		}
	}
	d.requeue(taken, d.maxTransmissions(nodes))
	return taken
}

// takeFromLevel appends the keys of one level that fit the budget to taken, and marks them.
func (d *Disseminator) takeFromLevel(level, budget int, taken []Key, size func(Key) int) []Key {
	keys := d.levels[level]
	kept := keys[:0]
	for i, key := range keys {
		if count, queued := d.sent[key]; !queued || count != level {
			continue
		}
		bytes := size(key)
		switch {
		case bytes > budget:
			d.levels[level] = append(kept, keys[i:]...)
			return taken
		case bytes == SkipEntry:
			kept = append(kept, key)
		case bytes == 0:
			delete(d.sent, key)
		default:
			budget -= bytes
			taken = append(taken, key)
			d.sent[key] = -1 - level
		}
	}
	d.levels[level] = kept
	return taken
}

// requeue moves taken entries one level up, and drops those sent often enough.
func (d *Disseminator) requeue(taken []Key, limit int) {
	for _, key := range taken {
		count := -d.sent[key]
		if count >= limit {
			delete(d.sent, key)
			continue
		}
		d.insert(key, count)
	}
}

func (d *Disseminator) insert(key Key, count int) {
	d.sent[key] = count
	for len(d.levels) <= count {
		d.levels = append(d.levels, nil)
	}
	d.levels[count] = append(d.levels[count], key)
}
