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

// trickle returns a drawn backend server whose share is limited, when its turn has come.
func (c choice) trickle() (fleet.Backend, bool) {
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
		l.trickled = g.picks
	}
	if share <= 0 || !c.idempotent && c.balancer.verdicts.Health(candidate.ID) != fleet.Healthy {
		return fleet.Backend{}, false
	}
	if float64(g.picks-l.trickled) < float64(len(g.usable))*(1/share-1) {
		return fleet.Backend{}, false
	}
	if l.ratio(candidate.Slots, c.now) >= fullLoad {
		return fleet.Backend{}, false
	}
	l.trickled = g.picks
	return candidate, true
}

// near returns the less loaded of two trusted backend servers with room, in the
// availability zone of the node first.
func (c choice) near() (fleet.Backend, bool) {
	g := c.group
	if g.near > 0 {
		found, load, ok := c.draw(g.usable[:g.near])
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

// draw returns the less loaded of two trusted backend servers drawn at random.
func (c choice) draw(places []int32) (best fleet.Backend, load float64, found bool) {
	if len(places) == 0 {
		return best, 0, false
	}
	drawn := 0
	for range maxDraws {
		candidate := c.candidates[places[c.balancer.random.IntN(len(places))]]
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

// any looks at all candidates: trusted ones with room, then degraded ones with
// room, then the least loaded of those in use.
func (c choice) any() (fleet.Backend, bool) {
	var best fleet.Backend
	var least rank
	found := false
	for _, place := range c.group.usable {
		candidate := c.candidates[place]
		if slices.Contains(c.tried, candidate.ID) {
			continue
		}
		health := c.balancer.verdicts.Health(candidate.ID)
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

// share returns the part of a fair share that a backend server may get.
func (c choice) share(candidate fleet.Backend, l *load) float64 {
	share := c.balancer.verdicts.Share(candidate.ID)
	return min(share, l.warming(candidate.State, c.now))
}
