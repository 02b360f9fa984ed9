// Package allocator grants credit for organisations' requests at their home nodes.
//
// It addresses organisations over their limit while nodes are killed, frozen, cut off or restarted.
// The home node grants at the whole rate only while the next node in order promises, for a bounded
// time, to grant nothing. Without the promise each of the two grants at half the rate, so that they
// stay within it together, whichever of them the rest of the fleet reaches. Any other node grants
// from a part of the overage and the slack only.
package allocator

import (
	"math"
	"sync"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/quota/ranker"
)

const (
	// PromiseTime is how long the second node promises to grant nothing. It is three renewals.
	PromiseTime = 1200 * time.Millisecond
	// RenewInterval is the time after which a promise is renewed.
	RenewInterval = 400 * time.Millisecond
	// attemptInterval is the time between two requests for a promise that is missing.
	attemptInterval = 250 * time.Millisecond
	// useTime is how long after its last call an organisation counts as in use.
	useTime = 5 * time.Second
	// youngTime is how long a started node may not be known to all others.
	youngTime = 3 * time.Second
	// settleTime is how long a node that was not one of the first two waits after their loss.
	settleTime = 2 * time.Second
	// doubtOverage is the part of the overage, and 1/doubtSlack that of the slack, granted in doubt,
	// once as a start and once in each window. The rest covers leases and new home nodes.
	doubtOverage = 0.5
	doubtSlack   = 8
	// startSlack is the divisor of the slack for the start of a bucket whose past is not known.
	startSlack = 2
	// toldSlack is the divisor of the slack: the second node may take a bucket for fuller by this part.
	toldSlack = 4
	// smallSlack is the divisor of the slack: two nodes may both grant at the whole rate to an
	// organisation whose rate x window + burst is below this part.
	smallSlack = 2
	// minRetryAfter and maxRetryAfter bound the time until there is room.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Request asks for credit.
type Request struct {
	Limit    fleet.Limit
	Revision fleet.Revision
	// Wanted is the number of requests that wait, Extra what is wanted if there is plenty.
	Wanted, Extra int
	// Returned is credit of requests that did not run, granted at most ReturnedAge ago.
	Returned    int
	ReturnedAge time.Duration
}

// Grant is the answer to a Request.
type Grant struct {
	Granted    int
	RetryAfter time.Duration
}

// Renewal is the state of a bucket that the first node tells the second.
type Renewal struct {
	Limit    fleet.Limit
	Revision fleet.Revision
	Tokens   float64
}

// Allocator holds the buckets of one node. Times are elapsed times of this node. It is safe for
// concurrent use.
type Allocator struct {
	rule fleet.QuotaRule

	mu      sync.Mutex
	started time.Duration
	entries map[fleet.Organisation]*entry
}

// New returns an allocator of a node that starts now.
func New(rule fleet.QuotaRule, now time.Duration) *Allocator {
	return &Allocator{rule: rule, started: now, entries: make(map[fleet.Organisation]*entry)}
}

// Restart forgets all buckets and promises, as after a freeze of this node.
func (a *Allocator) Restart(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = now
	clear(a.entries)
}

// Ask grants credit as far as this node may. Own is the limit in force at this node.
func (a *Allocator) Ask(request Request, own fleet.Limit, revision fleet.Revision, p *ranker.Place, now time.Duration) Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.find(request.Limit, request.Revision, p, now)
	e.setLimit(request.Limit, request.Revision, own, revision)
	e.usedAt = now
	if e.limit.RequestsPerSecond <= 0 {
		return Grant{RetryAfter: maxRetryAfter}
	}
	share := a.share(e, p, now)
	if share == 0 {
		return a.askInDoubt(e, request, p, now)
	}
	most := a.most(e.limit, share)
	reserve := 0.0
	if e.pending && e.tokens > most {
		// The promise is being requested: what only the promise permits is neither granted nor lost.
		reserve = e.tokens - most
	}
	e.refill(e.limit.RequestsPerSecond*share, most+reserve, now)
	if request.Returned > 0 && now-request.ReturnedAge >= e.fullAt {
		e.tokens = min(e.cap, e.tokens+float64(request.Returned))
	}
	available := max(0, e.tokens-reserve)
	granted := min(request.Wanted, int(available+tolerance))
	if granted == request.Wanted && available-float64(granted) > most/2 {
		granted += min(request.Extra, int(available-float64(granted)-most/2))
	}
	e.tokens -= float64(granted)
	e.count(granted, now)
	if granted >= request.Wanted {
		return Grant{Granted: granted}
	}
	return Grant{Granted: granted, RetryAfter: wait(1-(available-float64(granted)), e.rate)}
}

// most returns the credit that a bucket holds at a share of the rate.
func (a *Allocator) most(limit fleet.Limit, share float64) float64 {
	return max(float64(limit.Burst)*share, min(float64(limit.Burst), a.rule.Slack/(2*startSlack)), 1)
}

// accrue refills the bucket of an organisation in use, so that a change of the share counts from
// about when it happened. The others are refilled at their next use, with the promise.
func (a *Allocator) accrue(e *entry, p *ranker.Place, now time.Duration) {
	if e.pending || now-e.usedAt > useTime {
		return
	}
	if share := a.share(e, p, now); share > 0 {
		e.refill(e.limit.RequestsPerSecond*share, a.most(e.limit, share), now)
	} else {
		e.refill(0, e.tokens, now)
	}
}

// tolerance makes up for rounding of fractions of a token.
const tolerance = 1e-6

// askInDoubt grants from the part of the overage and the slack that nodes in doubt may use.
func (a *Allocator) askInDoubt(e *entry, request Request, p *ranker.Place, now time.Duration) Grant {
	e.refill(0, e.tokens, now)
	rate := min(e.limit.RequestsPerSecond*p.Share, a.doubtRate(e.limit))
	e.doubt = min(a.doubtBurst(e.limit), e.doubt+rate*max(0, now-e.doubtAt).Seconds())
	e.doubtAt = now
	granted := min(request.Wanted, int(e.doubt+tolerance))
	e.doubt -= float64(granted)
	e.count(granted, now)
	if granted == request.Wanted {
		return Grant{Granted: granted}
	}
	return Grant{Granted: granted, RetryAfter: min(wait(1-e.doubt, rate), a.rule.Window)}
}

func (a *Allocator) doubtRate(limit fleet.Limit) float64 {
	return limit.RequestsPerSecond*a.rule.Overage*doubtOverage + a.rule.Slack/doubtSlack/a.rule.Window.Seconds()
}

func (a *Allocator) doubtBurst(limit fleet.Limit) float64 {
	return max(1, min(float64(limit.Burst), a.rule.Slack/doubtSlack))
}

// wait returns how long it takes to refill an amount.
func wait(amount, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := math.Min(max(0, amount)/rate, maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// find returns the entry of an organisation. A new one starts full if this node would know of
// recent use, else with a part of the slack.
func (a *Allocator) find(limit fleet.Limit, revision fleet.Revision, p *ranker.Place, now time.Duration) *entry {
	if e, found := a.entries[limit.Organisation]; found {
		return e
	}
	e := &entry{limit: limit, revision: revision, at: now, fullAt: now, usedAt: now, doubtAt: now, attemptedAt: now - attemptInterval, failedAt: now - attemptInterval}
	e.tokens = float64(limit.Burst)
	if p.Rank != 0 || p.PastLost || now-a.started < max(a.rule.Window, youngTime) {
		e.tokens = a.startTokens(limit)
	}
	e.rate = math.Inf(1)
	e.doubt = a.doubtBurst(limit)
	a.entries[limit.Organisation] = e
	return e
}

// startTokens returns the credit at the start of a bucket whose past is not known.
func (a *Allocator) startTokens(limit fleet.Limit) float64 {
	return max(1, min(float64(limit.Burst), a.rule.Slack/startSlack))
}

// setLimit sets the limit in force. The asker may know a newer revision than this node, and then
// the lower rate is binding, until this node knows it too.
func (e *entry) setLimit(asked fleet.Limit, askedRevision fleet.Revision, own fleet.Limit, revision fleet.Revision) {
	limit := own
	switch {
	case own.Organisation == "":
		limit, revision = asked, askedRevision
	case askedRevision > revision:
		limit.RequestsPerSecond = min(own.RequestsPerSecond, asked.RequestsPerSecond)
		limit.Burst = min(own.Burst, asked.Burst)
		revision = askedRevision
	}
	if revision < e.revision {
		limit.RequestsPerSecond = min(limit.RequestsPerSecond, e.limit.RequestsPerSecond)
		limit.Burst = min(limit.Burst, e.limit.Burst)
		revision = e.revision
	}
	e.limit, e.revision = limit, revision
	e.limit.Burst = max(1, limit.Burst)
}
