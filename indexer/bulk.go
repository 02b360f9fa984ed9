package indexer

import "github.com/cespare/xxhash/v2"

// FromValues returns an index of the values; of several with the same key the last one
// is kept. It is much cheaper than calling With for each value.
func FromValues[K ~string, V Keyed[K]](values []V) Index[K, V] {
	unique := make(map[K]int, len(values))
	kept := make([]V, 0, len(values))
	for _, value := range values {
		position, found := unique[value.Key()]
		if found {
			kept[position] = value
			continue
		}
		unique[value.Key()] = len(kept)
		kept = append(kept, value)
	}
	if len(kept) == 0 {
		return Index[K, V]{}
	}
	return Index[K, V]{root: build[K](kept, 0), size: len(kept)}
}

// build returns a node that holds the values, whose keys must be distinct.
func build[K ~string, V Keyed[K]](values []V, level int) *node[K, V] {
	if len(values) <= maxValues || level >= maxLevel {
		leaf := make([]V, len(values))
		copy(leaf, values)
		return &node[K, V]{values: leaf}
	}
	var buckets [childMask + 1][]V
	for _, value := range values {
		hash := xxhash.Sum64String(string(value.Key())) >> (level * bitsPerLevel)
		buckets[hash&childMask] = append(buckets[hash&childMask], value)
	}
	branch := &node[K, V]{children: []*node[K, V]{}}
	for i, bucket := range buckets {
		if len(bucket) == 0 {
			continue
		}
		branch.present |= 1 << i
		branch.children = append(branch.children, build[K](bucket, level+1))
	}
	return branch
}
