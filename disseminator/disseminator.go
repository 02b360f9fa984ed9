package disseminator

import (
	"math/bits"
	"sync"
)

// Class tells members and backend servers apart.
type Class uint8

const (
	// ClassMember is a change of a node.
	ClassMember Class = iota + 1
	// ClassBackend is a change of a backend server.
	ClassBackend
)

// Key names the entry that changed. Its newest version is looked up when it is sent.
type Key struct {
	Class Class
	ID    string
}

// extraCopies is how often a change is sent beyond the binary logarithm of the
// fleet's size.
const extraCopies = 2

// Disseminator queues changed entries, least-sent first. It is safe for concurrent use.
type Disseminator struct {
	mu sync.Mutex
	// levels holds the keys by how often they were sent, oldest first. A key whose
	// count in sent differs from its level is stale and skipped.
	levels [][]Key
	sent   map[Key]int
}

// New returns an empty disseminator.
func New() *Disseminator {
	return &Disseminator{sent: make(map[Key]int)}
}

// Add queues an entry that changed, as never sent.
func (d *Disseminator) Add(key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if count, queued := d.sent[key]; queued && count == 0 {
		return
	}
	d.push(key, 0)
}

// Len returns the number of entries that wait.
func (d *Disseminator) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.sent)
}

// Limit returns how often an entry is sent in a fleet of so many nodes.
func Limit(nodes int) int {
	return bits.Len(uint(nodes)) + extraCopies
}

// Take returns entries for a message that is sent to copies nodes, least-sent first,
// whose sizes sum up to at most budget bytes, and counts them as sent. size returns
// an entry's bytes, or 0 when it no longer exists. nodes is the fleet's size.
func (d *Disseminator) Take(budget, copies, nodes int, size func(Key) int) []Key {
	d.mu.Lock()
	defer d.mu.Unlock()
	var taken []Key
	for level := 0; level < len(d.levels); level++ {
		keys := d.levels[level]
		used := 0
		for _, key := range keys {
			if count, queued := d.sent[key]; !queued || count != level {
				used++
				continue
			}
			bytes := size(key)
			if bytes > budget {
				break
			}
			used++
			if bytes == 0 {
				delete(d.sent, key)
				continue
			}
			budget -= bytes
			taken = append(taken, key)
			d.sent[key] = -copies - level
		}
		d.levels[level] = keys[used:]
	}
	d.requeue(taken, Limit(nodes))
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
		d.push(key, count)
	}
}

func (d *Disseminator) push(key Key, count int) {
	d.sent[key] = count
	for len(d.levels) <= count {
		d.levels = append(d.levels, nil)
	}
	d.levels[count] = append(d.levels[count], key)
}
