package fleet

// Split divides the requests of a route among services. It is immutable; a nil Split
// does not divide them.
type Split struct {
	shares []Share
	total  int
}

// NewSplit returns a split with the given shares, or nil if there are none.
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

// Shares returns the shares; the caller must not modify the slice.
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

// ServiceAt returns the service at a position from 0 up to, but not including, the total;
// each service has as many positions as its weight.
func (s *Split) ServiceAt(position int) ServiceName {
	for _, share := range s.shares {
		if position -= max(0, share.Weight); position < 0 {
			return share.Service
		}
	}
	return ""
}
