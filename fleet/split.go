package fleet

// Split divides the requests of a route among services. It is immutable; nil does not divide.
type Split struct {
	shares []Share
	total  int
}

// NewSplit returns a split, or nil without shares.
func NewSplit(shares ...Share) *Split {
	if len(shares) == 0 {
		return nil
	}
	s := &Split{shares: shares}
	for _, share := range shares {
		s.total += max(0, share.Weight)
	}
	return s
}

// Shares returns the parts; the slice is shared and must not be changed.
func (s *Split) Shares() []Share {
	if s == nil {
		return nil
	}
	return s.shares
}

// Total returns the sum of the weights.
func (s *Split) Total() int {
	if s == nil {
		return 0
	}
	return s.total
}

// At returns the service at a place from 0 to below the total, each service having as
// many places as its weight.
func (s *Split) At(place int) ServiceName {
	for _, share := range s.shares {
		if place -= max(0, share.Weight); place < 0 {
			return share.Service
		}
	}
	return ""
}
