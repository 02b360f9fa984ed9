package balancer

import (
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// choice is the state of one Pick.
type choice struct {
	balancer   *Balancer
	group      *group
	candidates []fleet.Backend
	tried      []fleet.BackendID
	idempotent bool
	now        time.Time
}

func (b *Balancer) choice(
	service fleet.ServiceName, candidates []fleet.Backend, tried []fleet.BackendID, idempotent bool,
) choice {
	g, found := b.services[service]
	if !found {
		g = &group{}
		b.services[service] = g
	}
	g.update(b.zone, candidates)
	return choice{
		balancer: b, group: g, candidates: candidates, tried: tried,
		idempotent: idempotent, now: b.clock.Now(),
	}
}

// limited draws a backend server at random and returns it if its share is limited and
// enough picks have passed since its last one for that share.
func (c choice) limited() (fleet.Backend, bool) {
	g := c.group
	if len(g.usable) == 0 || len(c.tried) > 0 {
		return fleet.Backend{}, false
	}
	candidate := c.candidates[g.usable[c.balancer.random.IntN(len(g.usable))]]
	l := c.balancer.load(candidate.ID)
	share := c.share(candidate, l)
	if share >= 1 {
		l.limited = false
		return fleet.Backend{}, false
	}
	if !l.limited {
		l.limited = true
		l.limitedPick = g.picks
	}
	if share <= 0 || !c.idempotent && c.balancer.health.Health(candidate.ID) != fleet.Healthy {
		return fleet.Backend{}, false
	}
	if float64(g.picks-l.limitedPick) < float64(len(g.usable))*(1/share-1) {
		return fleet.Backend{}, false
	}
	if l.ratio(candidate.Slots, c.now) >= fullLoad {
		return fleet.Backend{}, false
	}
	l.limitedPick = g.picks
	return candidate, true
}

// leastOfTwo returns the less loaded of two drawn backend servers with a full share and
// with capacity, from the availability zone of the node first.
func (c choice) leastOfTwo() (fleet.Backend, bool) {
	g := c.group
	if g.local > 0 {
		found, load, ok := c.draw(g.usable[:g.local])
		if ok && load < spillLoad {
			return found, true
		}
	}
	found, load, ok := c.draw(g.usable)
	if ok && load < fullLoad {
		return found, true
	}
	return fleet.Backend{}, false
}

// draw returns the less loaded of two backend servers with a full share drawn at random.
func (c choice) draw(indexes []int32) (best fleet.Backend, load float64, found bool) {
	if len(indexes) == 0 {
		return best, 0, false
	}
	drawn := 0
	for range maxDraws {
		candidate := c.candidates[indexes[c.balancer.random.IntN(len(indexes))]]
		if found && candidate.ID == best.ID {
			continue
		}
		l := c.balancer.load(candidate.ID)
		if c.share(candidate, l) < 1 || slices.Contains(c.tried, candidate.ID) {
			continue
		}
		ratio := l.ratio(candidate.Slots, c.now)
		if !found || ratio < load {
			best, load, found = candidate, ratio, true
		}
		drawn++
		if drawn == 2 {
			break
		}
	}
	return best, load, found
}

// leastLoaded compares all candidates: those with capacity first, then healthy ones with a
// full share, then the least loaded.
func (c choice) leastLoaded() (fleet.Backend, bool) {
	var best fleet.Backend
	var least rank
	found := false
	for _, index := range c.group.usable {
		candidate := c.candidates[index]
		if slices.Contains(c.tried, candidate.ID) {
			continue
		}
		health := c.balancer.health.Health(candidate.ID)
		if health == fleet.Ejected {
			continue
		}
		r := c.rank(candidate, health)
		if !found || r.less(least) {
			best, least, found = candidate, r, true
		}
	}
	return best, found
}

// share returns the part of a fair share that a backend server may get by its health and
// its slow start.
func (c choice) share(candidate fleet.Backend, l *load) float64 {
	share := c.balancer.health.Share(candidate.ID)
	return min(share, l.slowStartShare(candidate.State, c.now))
}
