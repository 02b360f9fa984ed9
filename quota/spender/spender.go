// Package spender keeps what an ingress may spend of organisations' quotas.
//
// It addresses organisations that send many requests a second at one node: credit is granted in
// blocks with a short lease, and a refusal holds for a moment, so that calls between nodes grow
// with the number of organisations in use and not with their requests. Credit that is not used is
// given back. Where no node grants, a local bucket is used.
package spender

import (
	"sync"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// LeaseTime is how long granted credit may be spent. The requests executed in a window were
	// granted in a window that is longer by it, which the overage covers.
	LeaseTime = 200 * time.Millisecond
	// slotTime is the time over which requests are counted for the size of blocks.
	slotTime = 100 * time.Millisecond
	// minBlock is the number of requests in a slot from which blocks are asked for.
	minBlock = 2
	// maxDenial bounds how long a refusal holds without a new call.
	maxDenial = 100 * time.Millisecond
	// isolationTime is the time without an answer of any home node after which the others have
	// found this node lost, and grant without its share.
	isolationTime = 8 * time.Second
	// localOverage is the part of the overage that all local buckets may use together before that.
	localOverage = 0.2
	// tolerance makes up for rounding of fractions of a request.
	tolerance = 1e-6
	// retention is how long an organisation is kept without requests.
	retention = 30 * time.Second
)

// block is granted credit.
type block struct {
	count   int
	granted time.Duration
}

// account is the state of one organisation.
type account struct {
	blocks []block
	// deniedUntil is the end of a refusal, roomAt the time at which there is room again.
	deniedUntil time.Duration
	roomAt      time.Duration
	// returned is credit to be given back, the oldest of it granted at returnedAt.
	returned   int
	returnedAt time.Duration
	// slot numbers the time slots; used counts the requests in it, before those in the one before.
	slot         int64
	used, before int
	// local is the local bucket at time localAt.
	local   float64
	localAt time.Duration
	usedAt  time.Duration
}

// Verdict is the decision about a request without a call.
type Verdict int

const (
	// Ask means that credit has to be asked for.
	Ask Verdict = iota
	// Admitted means that the request is covered by a lease.
	Admitted
	// Denied means that a refusal still holds.
	Denied
)

// Spender holds the leases of one node. Times are elapsed times of this node. It is safe for
// concurrent use.
type Spender struct {
	rule fleet.QuotaRule

	mu       sync.Mutex
	accounts map[fleet.Organisation]*account
	// reachedAt is the last time at which a home node answered.
	reachedAt time.Duration
}

// New returns a spender without credit.
func New(rule fleet.QuotaRule, now time.Duration) *Spender {
	return &Spender{rule: rule, accounts: make(map[fleet.Organisation]*account), reachedAt: now}
}

// Take decides about one request of an organisation.
func (s *Spender) Take(organisation fleet.Organisation, now time.Duration) (Verdict, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.find(organisation, now)
	a.usedAt = now
	a.count(now)
	a.expire(now)
	if len(a.blocks) > 0 {
		a.spend()
		return Admitted, 0
	}
	if now < a.deniedUntil {
		return Denied, a.roomAt - now
	}
	return Ask, 0
}

// Extra returns the size of the block to ask for beyond the requests that wait.
func (s *Spender) Extra(organisation fleet.Organisation, now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.find(organisation, now)
	if a.before < minBlock {
		return 0
	}
	return a.before - 1
}

// Put adds credit that was asked for at a time. Credit whose lease is over is given back.
func (s *Spender) Put(organisation fleet.Organisation, count int, asked, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if count <= 0 {
		return
	}
	a := s.find(organisation, now)
	a.blocks = append(a.blocks, block{count: count, granted: asked})
	a.expire(now)
}

// Deny records a refusal.
func (s *Spender) Deny(organisation fleet.Organisation, retryAfter, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.find(organisation, now)
	a.roomAt, a.deniedUntil = now+retryAfter, now+min(retryAfter, maxDenial)
}

// Return gives back credit of a request that did not run.
func (s *Spender) Return(organisation fleet.Organisation, age, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.find(organisation, now).giveBack(1, now-age)
}

// Collect returns the credit to be given back with the next call, and the age of the oldest.
func (s *Spender) Collect(organisation fleet.Organisation, now time.Duration) (count int, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, found := s.accounts[organisation]
	if !found || a.returned == 0 {
		return 0, 0
	}
	count, age = a.returned, now-a.returnedAt
	a.returned = 0
	return count, age
}

// Reached records that a home node answered.
func (s *Spender) Reached(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachedAt = now
}

// TakeLocal decides about a request for which no node grants, from a bucket that starts empty.
// All local buckets together stay within a part of the overage, until this node has been alone
// for so long that the other nodes grant without its share.
func (s *Spender) TakeLocal(limit fleet.Limit, nodes int, now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.find(limit.Organisation, now)
	rate := limit.RequestsPerSecond / float64(max(nodes, 1))
	if now-s.reachedAt < isolationTime {
		rate *= s.rule.Overage * localOverage
	}
	a.local = min(1, a.local+rate*(now-a.localAt).Seconds())
	a.localAt = now
	if a.local >= 1-tolerance {
		a.local = max(0, a.local-1)
		return 0, true
	}
	return min(s.rule.Window, time.Duration((1-a.local)/max(rate, 1e-3)*float64(time.Second))), false
}

// Expire gives back unused credit and forgets organisations without requests. It returns those
// with credit to be given back.
func (s *Spender) Expire(now time.Duration) (due []fleet.Organisation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for organisation, a := range s.accounts {
		a.expire(now)
		switch {
		case a.returned > 0:
			due = append(due, organisation)
		case now-a.usedAt > retention:
			delete(s.accounts, organisation)
		}
	}
	return due
}

// Len returns the number of organisations with state here.
func (s *Spender) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accounts)
}

func (s *Spender) find(organisation fleet.Organisation, now time.Duration) *account {
	a, found := s.accounts[organisation]
	if !found {
		a = &account{usedAt: now, localAt: now}
		s.accounts[organisation] = a
	}
	return a
}

// count counts a request for the size of blocks.
func (a *account) count(now time.Duration) {
	number := int64(now / slotTime)
	switch {
	case number == a.slot+1:
		a.before, a.used = a.used, 0
	case number > a.slot:
		a.before, a.used = 0, 0
	}
	a.slot = number
	a.used++
}

// spend uses one credit of the oldest block.
func (a *account) spend() {
	a.blocks[0].count--
	if a.blocks[0].count == 0 {
		a.blocks = a.blocks[1:]
	}
}

// expire gives back the blocks whose lease is over.
func (a *account) expire(now time.Duration) {
	for len(a.blocks) > 0 && now-a.blocks[0].granted >= LeaseTime {
		a.giveBack(a.blocks[0].count, a.blocks[0].granted)
		a.blocks = a.blocks[1:]
	}
}

func (a *account) giveBack(count int, granted time.Duration) {
	if a.returned == 0 || granted < a.returnedAt {
		a.returnedAt = granted
	}
	a.returned += count
}
