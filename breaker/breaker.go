// Package breaker keeps short-lived records of failures: of unreachable nodes, so that
// requests are routed past a broken path before the membership protocol detects it, and of
// failing and leaving backend servers, for which their owner refused requests. It also knows the nodes
// that have told that they stop.
package breaker

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// minBackoff is the time from a node's first failure until it is tried again: about
	// the time in which a killed process restarts.
	minBackoff = 500 * time.Millisecond
	// maxBackoff bounds that time, which doubles with each failure. Each new try opens a
	// connection between nodes.
	maxBackoff = time.Second
	// failingBackoff is how long a failing backend server gets no requests from this node
	// after a refusal. Other nodes send trial requests meanwhile.
	failingBackoff = time.Second
	// leavingBackoff is how long this node sends no more requests to a backend server whose node
	// stops and refused one. It is short, as such a backend server takes one request at a time and
	// is to get the next within a second also in a fleet of two nodes.
	leavingBackoff = 300 * time.Millisecond
)

// leaving is a backend server whose node stops, for requests that may or may not run twice:
// it refuses the latter sooner.
type leaving struct {
	backend    fleet.BackendID
	idempotent bool
}

// Breaker holds the unreachable nodes and the failing backend servers. It is safe for concurrent use.
type Breaker struct {
	clock clockwork.Clock

	mu       sync.Mutex
	backoffs map[fleet.NodeID]backoff
	// failing holds the end of the backoff of each failing backend server.
	failing map[fleet.BackendID]time.Time
	// leaving holds the end of the backoff of each leaving backend server.
	leaving map[leaving]time.Time
	// ends holds when the nodes end that have told that they stop.
	ends map[fleet.NodeID]time.Time
}

// backoff is the state of one unreachable node.
type backoff struct {
	duration time.Duration
	// until is when the node may be tried again.
	until time.Time
}

// New returns a Breaker without failures.
func New(clock clockwork.Clock) *Breaker {
	return &Breaker{
		clock:    clock,
		backoffs: make(map[fleet.NodeID]backoff),
		failing:  make(map[fleet.BackendID]time.Time),
		leaving:  make(map[leaving]time.Time),
		ends:     make(map[fleet.NodeID]time.Time),
	}
}

// RecordUnreachable records that a node could not be reached. It counts as unreachable until
// RecordReachable is called. Further failures are ignored during the backoff; started
// reports whether this one started a new backoff, and backoff is its length.
func (b *Breaker) RecordUnreachable(node fleet.NodeID) (backoff time.Duration, started bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	next := b.backoffs[node]
	if now.Before(next.until) {
		return 0, false
	}
	next.duration = min(max(minBackoff, 2*next.duration), maxBackoff)
	next.until = now.Add(next.duration)
	b.backoffs[node] = next
	return next.duration, true
}

// RecordReachable records that a node answered or left the fleet, and returns whether it had failed before.
func (b *Breaker) RecordReachable(node fleet.NodeID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, failed := b.backoffs[node]
	delete(b.backoffs, node)
	return failed
}

// UnreachableCount returns the number of unreachable nodes.
func (b *Breaker) UnreachableCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.backoffs)
}

// RecordFailing records that the owner of a backend server suspects it failing.
func (b *Breaker) RecordFailing(id fleet.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for backend, until := range b.failing {
		if !now.Before(until) {
			delete(b.failing, backend)
		}
	}
	b.failing[id] = now.Add(failingBackoff)
}

// RecordLeaving records that the owner of a backend server refused a request because its node stops.
func (b *Breaker) RecordLeaving(id fleet.BackendID, idempotent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for key, until := range b.leaving {
		if !now.Before(until) {
			delete(b.leaving, key)
		}
	}
	b.leaving[leaving{id, idempotent}] = now.Add(leavingBackoff)
}

// RecordEnd records that a node has told that it stops, and when it ends.
func (b *Breaker) RecordEnd(node fleet.NodeID, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for stopping, end := range b.ends {
		if !now.Before(end) {
			delete(b.ends, stopping)
		}
	}
	b.ends[node] = at
}

// IsStopping reports whether a node has told that it stops, and has not ended yet.
func (b *Breaker) IsStopping(node fleet.NodeID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clock.Now().Before(b.ends[node])
}

// Leaving returns the leaving backend servers among these, for requests that may or may not run twice.
func (b *Breaker) Leaving(backends []fleet.Backend, idempotent bool) (ids []fleet.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.leaving) == 0 {
		return nil
	}
	now := b.clock.Now()
	for _, backend := range backends {
		if now.Before(b.leaving[leaving{backend.ID, idempotent}]) {
			ids = append(ids, backend.ID)
		}
	}
	return ids
}

// Unavailable returns the backend servers whose owner is unreachable, and those that are
// failing; either is nil when there are none.
func (b *Breaker) Unavailable(backends []fleet.Backend) (unreachable, failing []fleet.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.backoffs) == 0 && len(b.failing) == 0 {
		return nil, nil
	}
	now := b.clock.Now()
	for _, backend := range backends {
		if _, found := b.backoffs[backend.Owner]; found {
			unreachable = append(unreachable, backend.ID)
		}
		if until, found := b.failing[backend.ID]; found && now.Before(until) {
			failing = append(failing, backend.ID)
		}
	}
	return unreachable, failing
}
