package quarantiner

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets by which nodes find out what they know differently.
const bucketCount = 32

// Hashes returns a hash of the records in each bucket, or nothing without records.
func (q *Quarantiner) Hashes() []uint64 {
	records := q.records()
	if len(records) == 0 {
		return nil
	}
	hashes := make([]uint64, bucketCount)
	for _, record := range records {
		hashes[bucketOf(record.Identity)] ^= record.hash()
	}
	return hashes
}

// Differing returns the buckets whose hashes are not those of another node.
func (q *Quarantiner) Differing(theirs []uint64) (differing []int) {
	ours := q.Hashes()
	for i := range bucketCount {
		if hashAt(ours, i) != hashAt(theirs, i) {
			differing = append(differing, i)
		}
	}
	return differing
}

// hashAt returns the hash of a bucket of a node; one without records tells none.
func hashAt(hashes []uint64, bucket int) uint64 {
	if bucket >= len(hashes) {
		return 0
	}
	return hashes[bucket]
}

// Bucket returns the records in a bucket, those with the latest crashes first.
func (q *Quarantiner) Bucket(bucket int) []Record {
	records := slices.DeleteFunc(q.records(), func(r Record) bool { return bucketOf(r.Identity) != bucket })
	slices.SortFunc(records, func(a, b Record) int { return b.latest().Compare(a.latest()) })
	return records
}

// records returns all records that have not expired.
func (q *Quarantiner) records() []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	oldest := q.oldest()
	var records []Record
	for _, identity := range q.entries.Keys() {
		// Peek does not count as a use of the entry.
		if e, found := q.entries.Peek(identity); found {
			if record := e.record.since(oldest); len(record.crashes) > 0 {
				records = append(records, record)
			}
		}
	}
	return records
}

func bucketOf(identity string) int { return int(xxhash.Sum64String(identity) % bucketCount) }

// hash returns a hash that is the same on all nodes that know the same of the crashes.
func (r Record) hash() uint64 {
	parts := make([]string, 0, len(r.crashes))
	for _, crash := range r.crashes {
		parts = append(parts, string(crash.Backend)+flag(crash.Trial)+flag(crash.Shared)+flag(crash.Cleared))
	}
	slices.Sort(parts) // their times differ a little from node to node
	return xxhash.Sum64String(r.Identity + "\x00" + strings.Join(parts, "\x00"))
}

func flag(set bool) string {
	if set {
		return "\x01"
	}
	return "\x02"
}
