package collector

import "cowsliptally.example/cowsliptally/accountant"

// Content is a body in memory.
type Content struct {
	bytes      []byte
	reserved   int64
	accountant *accountant.Accountant
}

// Bytes returns the body; it must not be used after Release.
func (c *Content) Bytes() []byte { return c.bytes }

// Release releases the memory; further calls do nothing.
func (c *Content) Release() {
	c.accountant.Release(c.reserved)
	c.reserved = 0
	c.bytes = nil
}

// grow makes room for at least one more byte and at most bound bytes in all. A body
// of known length gets its memory at once, so that a body that is begun can be completed.
func (c *Content) grow(bound int64, known bool) bool {
	size := bound
	if !known {
		size = min(bound, max(initialSize, 2*c.reserved))
	}
	if !c.accountant.Reserve(size) {
		return false
	}
	grown := make([]byte, len(c.bytes), size)
	copy(grown, c.bytes)
	c.accountant.Release(c.reserved)
	c.bytes, c.reserved = grown, size
	return true
}
