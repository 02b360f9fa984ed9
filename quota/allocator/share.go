package allocator

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/quota/ranker"
)

// half is the share of each of the first two nodes while they have no contact.
const half = 0.5

// share returns the part of the rate that this node may grant; 0 means that it is in doubt.
func (a *Allocator) share(e *entry, p *ranker.Place, now time.Duration) float64 {
	settled := !p.PairLost || p.WasPair || now-p.LostAt >= settleTime
	young := a.young(now) && !e.handed
	promised := a.promised(e, p, now)
	switch {
	case p.Rank > 1 || !settled:
		return 0
	case a.small(e.limit) && !young:
		return p.Share
	case p.Rank == 1 && now < e.heardUntil:
		return 0
	case young && !promised:
		return 0
	case young || p.PairLost || !promised:
		return min(half, p.Share)
	default:
		return p.Share
	}
}

// young reports whether this node may not be known to all others yet.
func (a *Allocator) young(now time.Duration) bool { return now-a.started < youngTime }

// promised reports whether the second node promised to grant nothing, or there is none. The
// promise of an earlier second node holds until its end, as the new one is not asked before.
func (a *Allocator) promised(e *entry, p *ranker.Place, now time.Duration) bool {
	if p.Rank != 0 {
		return false
	}
	_, found := p.Second()
	return !found || now < e.promisedUntil
}

// small reports whether two nodes may both grant at the whole rate.
func (a *Allocator) small(limit fleet.Limit) bool {
	return limit.RequestsPerSecond*a.rule.Window.Seconds()+float64(limit.Burst) <= a.rule.Slack/smallSlack
}

// NeedsPromise reports whether the second node has to be asked for its promise before this node
// grants. It then returns the bucket's state, and the caller reports the result by Promised.
func (a *Allocator) NeedsPromise(limit fleet.Limit, revision fleet.Revision, p *ranker.Place, now time.Duration) (Renewal, bool) {
	_, found := p.Second()
	if p.Rank != 0 || !found || a.small(limit) {
		return Renewal{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.find(limit, revision, p, now)
	second, _ := p.Second()
	if a.promised(e, p, now) || now-e.attemptedAt < attemptInterval && e.attempted == second.ID {
		return Renewal{}, false
	}
	e.pending, e.attempted = true, second.ID
	return e.renewal(now), true
}

// Behind reports whether the second node takes this bucket for much fuller than it is, and
// returns the state to be told to it before more is granted. Without this a home node that is
// lost in a sudden load would be followed by one that grants the same burst again.
func (a *Allocator) Behind(organisation fleet.Organisation, p *ranker.Place, now time.Duration) (Renewal, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, found := a.entries[organisation]
	if !found || p.Rank != 0 || len(p.Order) < 2 || now >= e.promisedUntil || e.told-e.tokens < a.rule.Slack/toldSlack || now-e.failedAt < attemptInterval {
		return Renewal{}, false
	}
	return e.renewal(now), true
}

// renewal returns the state for the second node, and records that it was told.
func (e *entry) renewal(now time.Duration) Renewal {
	e.attemptedAt, e.told = now, e.tokens
	return Renewal{Limit: e.limit, Revision: e.revision, Tokens: e.tokens}
}

// Promised records the second node's promise, asked for at a time.
func (a *Allocator) Promised(organisation fleet.Organisation, second fleet.NodeID, asked time.Duration) {
	a.settle(organisation, func(e *entry) {
		e.second, e.promisedUntil, e.deferUntil = second, asked+PromiseTime, 0
	})
}

// Unpromised records that the second node did not answer, or refused as it takes another node
// for the first. After a refusal this node leaves the grants to it for a moment. It reports
// whether a promise that held before has ended.
func (a *Allocator) Unpromised(organisation fleet.Organisation, refused bool, now time.Duration) (lost bool) {
	a.settle(organisation, func(e *entry) {
		e.failedAt = now
		if now < e.promisedUntil {
			return
		}
		lost = e.second != ""
		e.second = ""
		if refused {
			e.deferUntil = now + attemptInterval
		}
	})
	return lost
}

// Handed takes over the bucket of the node that granted until now.
func (a *Allocator) Handed(r Renewal, now time.Duration) {
	a.settle(r.Limit.Organisation, func(e *entry) {
		e.tokens, e.at, e.fullAt, e.handed = r.Tokens, now, now, true
	})
}

// settle ends a request for a promise and changes the entry.
func (a *Allocator) settle(organisation fleet.Organisation, change func(*entry)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, found := a.entries[organisation]; found {
		e.pending = false
		change(e)
	}
}

// Renewals returns the buckets whose promises are due, by the node that gives them.
func (a *Allocator) Renewals(place func(fleet.Organisation) *ranker.Place, now time.Duration) map[fleet.NodeID][]Renewal {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := make(map[fleet.NodeID][]Renewal)
	for organisation, e := range a.entries {
		p := place(organisation)
		if p.Rank > 1 {
			// Others grant now, of which this node hears nothing.
			e.refill(0, min(e.tokens, a.startTokens(e.limit)), now)
			continue
		}
		a.accrue(e, p, now)
		second, found := p.Second()
		if p.Rank != 0 || !found || now-e.usedAt > useTime || a.small(e.limit) {
			continue
		}
		if now-e.attemptedAt < RenewInterval && e.second == second.ID {
			continue
		}
		due[second.ID] = append(due[second.ID], e.renewal(now))
	}
	return due
}

// Hear records what the first node tells this one, and reports whether this node promises to
// grant nothing: it does if it takes the same node for the first, whatever its own rank. If
// it granted itself until now, it returns its bucket.
func (a *Allocator) Hear(from fleet.NodeID, r Renewal, p *ranker.Place, now time.Duration) (handed *Renewal, given bool) {
	if p.Rank == 0 || len(p.Order) == 0 || p.Order[0].ID != from {
		return nil, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.find(r.Limit, r.Revision, p, now)
	if r.Revision >= e.revision {
		e.limit, e.revision = r.Limit, r.Revision
	}
	if now < e.promisedUntil {
		handed = &Renewal{Limit: e.limit, Revision: e.revision, Tokens: min(r.Tokens, e.tokens)}
		if a.young(now) && !e.handed {
			handed = nil
		}
		e.promisedUntil = 0
	}
	e.tokens, e.at, e.rate, e.fullAt = r.Tokens, now, 0, now
	if handed != nil {
		e.tokens = handed.Tokens
	}
	e.heardUntil, e.usedAt, e.handed = now+PromiseTime, now, false
	return handed, true
}

// Defers returns the node to which this one leaves the grants: the first one that it promised to
// grant nothing, or the second one that takes itself for the first.
func (a *Allocator) Defers(organisation fleet.Organisation, p *ranker.Place, now time.Duration) (fleet.Member, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, found := a.entries[organisation]
	switch {
	case !found:
		return fleet.Member{}, false
	case p.Rank > 0 && now < e.heardUntil && len(p.Order) > 0:
		return p.Order[0], true
	case p.Rank == 0 && now < e.deferUntil && len(p.Order) > 1:
		return p.Order[1], true
	default:
		return fleet.Member{}, false
	}
}

// Expire removes buckets that have not been used since they became full again.
func (a *Allocator) Expire(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for organisation, e := range a.entries {
		missing := float64(e.limit.Burst)
		full := time.Duration(min(missing/max(e.limit.RequestsPerSecond, 1e-3), 3600) * float64(time.Second))
		if now-e.usedAt > max(2*a.rule.Window, 4*full) {
			delete(a.entries, organisation)
		}
	}
}

// Use is the use of one organisation's quota at this node.
type Use struct {
	Limit fleet.Limit
	// Granted is the credit granted in the last whole second.
	Granted int
	Tokens  float64
}

// Len returns the number of buckets.
func (a *Allocator) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.entries)
}

// Uses returns the use of all organisations whose first node is this one.
func (a *Allocator) Uses(place func(fleet.Organisation) *ranker.Place, now time.Duration) []Use {
	a.mu.Lock()
	defer a.mu.Unlock()
	var uses []Use
	for organisation, e := range a.entries {
		if place(organisation).Rank != 0 {
			continue
		}
		e.count(0, now)
		uses = append(uses, Use{Limit: e.limit, Granted: e.before, Tokens: e.tokens})
	}
	return uses
}
