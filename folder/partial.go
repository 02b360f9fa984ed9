package folder

import cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"

// partial counts the parts of one checkpoint that came in order.
type partial struct {
	nextOffset uint64
	parts      uint32
	seen       uint32
}

// with returns the count after one more part.
func (p partial) with(c *cowsliptallyv1.Checkpoint) partial {
	if c.GetParts() <= 1 {
		return partial{nextOffset: c.GetNextOffset(), parts: 1, seen: 1}
	}
	if c.GetPart() == 1 {
		return partial{nextOffset: c.GetNextOffset(), parts: c.GetParts(), seen: 1}
	}
	if c.GetPart() != p.seen+1 || c.GetParts() != p.parts || c.GetNextOffset() != p.nextOffset {
		return partial{}
	}
	p.seen++
	return p
}

func (p partial) complete() bool {
	return p.parts > 0 && p.seen == p.parts
}
