// Package avoider remembers what is better left alone for a moment: nodes that could
// not be reached, so that requests go round a broken path before membership knows of it,
// and backend servers whose owner refused work for them.
package avoider

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// firstHold is how long a node is avoided after its first failure: about the time
	// in which a killed process is back.
	firstHold = 500 * time.Millisecond
	// maxHold bounds the hold, which doubles with each failure; membership knows of
	// a dead node by then.
	maxHold = 4 * time.Second
	// doubtHold is how long a backend server is left alone that its owner doubts. Other
	// nodes send trials meanwhile.
	doubtHold = time.Second
)

// Avoider holds the nodes to avoid. It is safe for concurrent use.
type Avoider struct {
	clock clockwork.Clock

	mu    sync.Mutex
	holds map[fleet.NodeID]hold
	// doubts holds until when backend servers are left alone.
	doubts map[fleet.BackendID]time.Time
}

// hold is one node to avoid.
type hold struct {
	length time.Duration
	until  time.Time
}

// New returns an avoider that avoids no node.
func New(clock clockwork.Clock) *Avoider {
	return &Avoider{
		clock:  clock,
		holds:  make(map[fleet.NodeID]hold),
		doubts: make(map[fleet.BackendID]time.Time),
	}
}

// Failed tells that a node could not be reached, and returns how long it is avoided.
// Failures during a hold count once.
func (a *Avoider) Failed(node fleet.NodeID) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	h := a.holds[node]
	switch {
	case now.Before(h.until):
		return h.until.Sub(now)
	case now.Sub(h.until) > maxHold:
		h.length = 0
	}
	h.length = min(max(firstHold, 2*h.length), maxHold)
	h.until = now.Add(h.length)
	a.holds[node] = h
	return h.length
}

// Reached tells that a node answered, and returns whether it had failed before.
func (a *Avoider) Reached(node fleet.NodeID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, failed := a.holds[node]
	delete(a.holds, node)
	return failed
}

// Count returns the number of nodes that are to be avoided at present.
func (a *Avoider) Count() (nodes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, h := range a.holds {
		if now.Before(h.until) {
			nodes++
		}
	}
	return nodes
}

// Doubted tells that the owner of a backend server doubts it.
func (a *Avoider) Doubted(id fleet.BackendID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for known, until := range a.doubts {
		if !now.Before(until) {
			delete(a.doubts, known)
		}
	}
	a.doubts[id] = now.Add(doubtHold)
}

// Among returns the backend servers whose node cannot be reached, and those that are
// doubted; either is nil when there are none.
func (a *Avoider) Among(backends []fleet.Backend) (avoided, doubted []fleet.BackendID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.holds) == 0 && len(a.doubts) == 0 {
		return nil, nil
	}
	now := a.clock.Now()
	for _, backend := range backends {
		if h, found := a.holds[backend.Owner]; found && now.Before(h.until) {
			avoided = append(avoided, backend.ID)
		}
		if until, found := a.doubts[backend.ID]; found && now.Before(until) {
			doubted = append(doubted, backend.ID)
		}
	}
	return avoided, doubted
}
