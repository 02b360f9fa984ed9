package roster

import (
	"cowsliptally.example/cowsliptally/fleet"
)

// leftMark makes the hashes differ between versions of which only one says that the backend
// server left.
const leftMark = " left"

// EntrySet is a set of nodes and backend servers.
type EntrySet struct {
	Members  []fleet.Member
	Backends []fleet.Backend
}

// Buckets returns the hashes of the coarse buckets.
func (r *Roster) Buckets() []uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.buckets.coarse()
}

// FineBuckets returns the hashes of the fine buckets of a coarse one, counted from 0.
func (r *Roster) FineBuckets(coarse int) []uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.buckets.fine(coarse)
}

// Entries returns all compared entries, by coarse bucket, or by fine bucket of one
// coarse bucket when coarse is not negative.
func (r *Roster) Entries(coarse int) []EntrySet {
	r.mu.RLock()
	defer r.mu.RUnlock()
	tables := make([]EntrySet, BucketCount)
	for id, m := range r.members {
		i := bucketIn(fineBucket(hashID(kindMember, string(id))), coarse)
		if i >= 0 && m.compared {
			tables[i].Members = append(tables[i].Members, m.Member)
		}
	}
	for n := range r.entries {
		e := &r.entries[n]
		if !e.compared {
			continue
		}
		i := bucketIn(int(e.bucket), coarse)
		if i >= 0 {
			tables[i].Backends = append(tables[i].Backends, r.backend(uint32(n)))
		}
	}
	return tables
}

// bucketIn returns the bucket at the requested level, or -1 outside the coarse bucket.
func bucketIn(fine, coarse int) int {
	if coarse < 0 {
		return fine / BucketCount
	}
	if fine/BucketCount != coarse {
		return -1
	}
	return fine % BucketCount
}

func (r *Roster) toggleMember(m fleet.Member) {
	id := hashID(kindMember, string(m.ID))
	version := m.Incarnation<<3 | uint64(m.State)
	r.buckets.toggle(id, hashVersion(id, version, ""))
}

func (r *Roster) toggleBackend(i uint32) {
	e := &r.entries[i]
	id := hashID(kindBackend, e.id)
	writer := r.strings.value(e.owner)
	if e.left {
		writer += leftMark
	}
	r.buckets.toggle(id, hashVersion(id, e.sequence, writer))
}
