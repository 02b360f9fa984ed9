package indexer

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// bitsPerLevel is the number of hash bits that select a child.
	bitsPerLevel = 4
	// childMask selects the hash bits of one level.
	childMask = 1<<bitsPerLevel - 1
	// maxLevel is the depth at which no hash bits are left; leaves there may hold any
	// number of values.
	maxLevel = 64 / bitsPerLevel
	// maxValues is the largest number of values of a leaf above maxLevel.
	maxValues = 16
)

// node is a leaf with values, or a branch with children; a nil node is empty.
type node[K ~string, V Keyed[K]] struct {
	values []V
	// children holds the non-empty children in the order of their bits in present.
	children []*node[K, V]
	present  uint16
}

func (n *node[K, V]) find(key K) (V, bool) {
	for i := range n.values {
		if n.values[i].Key() == key {
			return n.values[i], true
		}
	}
	var none V
	return none, false
}

// childPosition returns the bit of a child in present and its position among the children.
func (n *node[K, V]) childPosition(hash uint64) (bit uint16, position int) {
	bit = 1 << (hash & childMask)
	return bit, bits.OnesCount16(n.present & (bit - 1))
}

func (n *node[K, V]) child(hash uint64) *node[K, V] {
	bit, position := n.childPosition(hash)
	if n.present&bit == 0 {
		return nil
	}
	return n.children[position]
}

func (n *node[K, V]) with(value V, hash uint64, level int) (changed *node[K, V], added bool) {
	if n == nil {
		return &node[K, V]{values: []V{value}}, true
	}
	if n.children == nil {
		return n.leafWith(value, level)
	}
	bit, position := n.childPosition(hash)
	if n.present&bit == 0 {
		leaf := &node[K, V]{values: []V{value}}
		return &node[K, V]{children: inserted(n.children, position, leaf), present: n.present | bit}, true
	}
	child, added := n.children[position].with(value, hash>>bitsPerLevel, level+1)
	children := slices.Clone(n.children)
	children[position] = child
	return &node[K, V]{children: children, present: n.present}, added
}

func (n *node[K, V]) leafWith(value V, level int) (changed *node[K, V], added bool) {
	position := n.position(value.Key())
	if position >= 0 {
		values := slices.Clone(n.values)
		values[position] = value
		return &node[K, V]{values: values}, false
	}
	values := inserted(n.values, len(n.values), value)
	if len(values) <= maxValues || level >= maxLevel {
		return &node[K, V]{values: values}, true
	}
	return split[K](values, level), true
}

// split returns a branch that holds the values.
func split[K ~string, V Keyed[K]](values []V, level int) *node[K, V] {
	branch := &node[K, V]{children: []*node[K, V]{}}
	for _, value := range values {
		hash := xxhash.Sum64String(string(value.Key())) >> (level * bitsPerLevel)
		branch, _ = branch.with(value, hash, level)
	}
	return branch
}

func (n *node[K, V]) without(key K, hash uint64) (changed *node[K, V], removed bool) {
	if n == nil {
		return nil, false
	}
	if n.children == nil {
		return n.leafWithout(key)
	}
	bit, position := n.childPosition(hash)
	if n.present&bit == 0 {
		return n, false
	}
	child, removed := n.children[position].without(key, hash>>bitsPerLevel)
	if !removed {
		return n, false
	}
	children := slices.Clone(n.children)
	if child != nil {
		children[position] = child
		return &node[K, V]{children: children, present: n.present}, true
	}
	if len(children) == 1 {
		return nil, true
	}
	children = slices.Delete(children, position, position+1)
	return &node[K, V]{children: children, present: n.present &^ bit}, true
}

func (n *node[K, V]) leafWithout(key K) (changed *node[K, V], removed bool) {
	position := n.position(key)
	if position < 0 {
		return n, false
	}
	if len(n.values) == 1 {
		return nil, true
	}
	values := make([]V, 0, len(n.values)-1)
	values = append(values, n.values[:position]...)
	values = append(values, n.values[position+1:]...)
	return &node[K, V]{values: values}, true
}

// position returns the position of a key among the values, or -1.
func (n *node[K, V]) position(key K) int {
	return slices.IndexFunc(n.values, func(value V) bool { return value.Key() == key })
}

func (n *node[K, V]) each(yield func(V) bool) bool {
	if n == nil {
		return true
	}
	for _, value := range n.values {
		if !yield(value) {
			return false
		}
	}
	for _, child := range n.children {
		if !child.each(yield) {
			return false
		}
	}
	return true
}

func inserted[T any](entries []T, position int, entry T) []T {
	changed := make([]T, 0, len(entries)+1)
	changed = append(changed, entries[:position]...)
	changed = append(changed, entry)
	return append(changed, entries[position:]...)
}
