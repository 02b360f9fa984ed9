package roster

// interner maps strings that recur in many entries to small numbers. It counts the
// references to each, so that names no longer in use take no memory.
type interner struct {
	values  []string
	uses    []uint32
	free    []uint32
	numbers map[string]uint32
}

func newInterner() *interner {
	return &interner{numbers: make(map[string]uint32)}
}

// acquire returns the number of a string and adds a reference to it.
func (n *interner) acquire(value string) uint32 {
	if number, found := n.numbers[value]; found {
		n.uses[number]++
		return number
	}
	number := n.store(value)
	n.uses[number] = 1
	n.numbers[value] = number
	return number
}

// release removes one reference; the number is reused after the last one.
func (n *interner) release(number uint32) {
	n.uses[number]--
	if n.uses[number] > 0 {
		return
	}
	delete(n.numbers, n.values[number])
	n.values[number] = ""
	n.free = append(n.free, number)
}

// lookup returns the number of a known string.
func (n *interner) lookup(value string) (uint32, bool) {
	number, found := n.numbers[value]
	return number, found
}

// value returns the string of a number.
func (n *interner) value(number uint32) string {
	return n.values[number]
}

func (n *interner) store(value string) uint32 {
	if last := len(n.free) - 1; last >= 0 {
		number := n.free[last]
		n.free = n.free[:last]
		n.values[number] = value
		return number
	}
	n.values = append(n.values, value)
	n.uses = append(n.uses, 0)
	return uint32(len(n.values) - 1)
}
