// Package quarantiner records which requests were running on backend servers that
// crashed. It does no I/O.
//
// An identity identifies a request by its content, so that it is recognised when its
// caller sends it again. After one crash it is suspect: the node that reported the
// crash permits one trial request. A trial request that runs to its end clears the
// identity; a second crash, of another backend server, makes it poison.
package quarantiner

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

// Quarantiner holds the status of identities. It is safe for concurrent use.
type Quarantiner struct {
	clock    clockwork.Clock
	duration time.Duration
	capacity int

	mu      sync.Mutex
	records *simplelru.LRU[string, *record]
}

// New returns a quarantiner in which every identity is clean.
func New(clock clockwork.Clock, options ...Option) *Quarantiner {
	q := &Quarantiner{clock: clock, duration: DefaultDuration, capacity: DefaultCapacity}
	for _, option := range options {
		option(q)
	}
	records, err := simplelru.NewLRU[string, *record](max(1, q.capacity), nil)
	if err != nil {
		panic(err)
	}
	q.records = records
	return q
}

// RecordCrash records that a backend server crashed with these identities in its slots.
// It returns the identities that became poison by it.
func (q *Quarantiner) RecordCrash(reporter fleet.NodeID, backend fleet.BackendID, identities []string) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var poisoned []string
	for _, identity := range identities {
		r := q.find(identity)
		if r == nil {
			r = &record{first: backend, reporter: reporter}
			q.records.Add(identity, r)
		}
		if r.first != backend && r.second == "" {
			r.second = backend
			poisoned = append(poisoned, identity)
		}
		r.updated = q.clock.Now()
	}
	return poisoned
}

// Clear removes the record of an identity that ran to its end, which a request that
// crashes every backend server never does. It returns whether there was a record.
func (q *Quarantiner) Clear(identity string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.find(identity) != nil && q.records.Remove(identity)
}

// Status returns the status of an identity and, unless it is clean, its first crash.
func (q *Quarantiner) Status(identity string) (Status, Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.find(identity)
	if r == nil {
		return Clean, Crash{}
	}
	return r.status(), Crash{Reporter: r.reporter, Backend: r.first}
}

// PermitTrial permits one trial request of a suspect at a time, at the node that reported its crash.
func (q *Quarantiner) PermitTrial(node fleet.NodeID, identity string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.find(identity)
	if r == nil {
		return true
	}
	now := q.clock.Now()
	if r.status() == Poison || r.reporter != node || now.Before(r.trialEnd) {
		return false
	}
	r.trialEnd = now.Add(TrialDuration)
	return true
}

// RevokeTrial revokes the permission of a trial request that did not and will not run.
func (q *Quarantiner) RevokeTrial(identity string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.find(identity); r != nil {
		r.trialEnd = time.Time{}
	}
}

// Len returns the number of identities remembered.
func (q *Quarantiner) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.records.Len()
}

// find returns the record of an identity, or nil if there is none or it has expired.
func (q *Quarantiner) find(identity string) *record {
	r, found := q.records.Get(identity)
	if !found {
		return nil
	}
	if q.clock.Since(r.updated) >= q.duration {
		q.records.Remove(identity)
		return nil
	}
	return r
}
