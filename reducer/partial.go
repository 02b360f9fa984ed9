package reducer

import cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"

// partialCheckpoint counts the parts of one checkpoint that were received in
// order.
type partialCheckpoint struct {
	nextOffset uint64
	parts      uint32
	received   uint32
}

// with returns the count with one more part.
func (p partialCheckpoint) with(c *cowsliptallyv1.Checkpoint) partialCheckpoint {
	if c.GetParts() <= 1 {
		return partialCheckpoint{nextOffset: c.GetNextOffset(), parts: 1, received: 1}
	}
	if c.GetPart() == 1 {
		return partialCheckpoint{nextOffset: c.GetNextOffset(), parts: c.GetParts(), received: 1}
	}
	if c.GetPart() != p.received+1 || c.GetParts() != p.parts || c.GetNextOffset() != p.nextOffset {
		return partialCheckpoint{}
	}
	p.received++
	return p
}

func (p partialCheckpoint) complete() bool {
	return p.parts > 0 && p.received == p.parts
}
