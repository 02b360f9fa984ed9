package balancer

import "cowsliptally.example/cowsliptally/fleet"

// rank orders candidates when none of the drawn ones had capacity.
type rank struct {
	full    bool
	limited bool
	load    float64
	tie     uint32
}

func (c choice) rank(candidate fleet.Backend, health fleet.Health) rank {
	l := c.balancer.load(candidate.ID)
	ratio := l.ratio(candidate.Slots, c.now)
	return rank{
		full:    ratio >= fullLoad,
		limited: health != fleet.Healthy || c.share(candidate, l) < 1,
		load:    ratio,
		tie:     c.balancer.random.Uint32(),
	}
}

// less prefers capacity, then health with a full share, then the lower load, then a random tie-break.
func (r rank) less(other rank) bool {
	if r.full != other.full {
		return !r.full
	}
	if r.limited != other.limited {
		return !r.limited
	}
	if r.load != other.load {
		return r.load < other.load
	}
	return r.tie < other.tie
}
