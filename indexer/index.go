package indexer

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Index maps keys to values. The zero value is empty. It is immutable and safe
// for concurrent use.
type Index[K ~string, V Keyed[K]] struct {
	root *node[K, V]
	size int
}

// Len returns the number of values.
func (x Index[K, V]) Len() int { return x.size }

// Get returns the value of a key.
func (x Index[K, V]) Get(key K) (V, bool) {
	hash := xxhash.Sum64String(string(key))
	for n := x.root; n != nil; hash >>= bitsPerLevel {
		if n.children == nil {
			return n.find(key)
		}
		n = n.child(hash)
	}
	var none V
	return none, false
}

// With returns a copy that holds the value under the value's key.
func (x Index[K, V]) With(value V) Index[K, V] {
	hash := xxhash.Sum64String(string(value.Key()))
	root, added := x.root.with(value, hash, 0)
	if added {
		x.size++
	}
	x.root = root
	return x
}

// Without returns a copy without the key.
func (x Index[K, V]) Without(key K) Index[K, V] {
	root, removed := x.root.without(key, xxhash.Sum64String(string(key)))
	if removed {
		x.size--
	}
	x.root = root
	return x
}

// All yields every value. The order depends on the keys alone.
func (x Index[K, V]) All() iter.Seq[V] {
	return func(yield func(V) bool) {
		x.root.each(yield)
	}
}
