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
	// firstHold is the time from a node's first failure until it is asked again: about
	// that in which a killed process is back.
	firstHold = 500 * time.Millisecond
	// maxHold bounds that time, which doubles with each failure. A question costs a
	// connection between nodes.
	maxHold = time.Second
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
	// until is when the node is due to be asked again.
	until time.Time
}

// New returns an avoider that avoids no node.
func New(clock clockwork.Clock) *Avoider {
	return &Avoider{
		clock:  clock,
		holds:  make(map[fleet.NodeID]hold),
		doubts: make(map[fleet.BackendID]time.Time),
	}
}

// Failed tells that a node could not be reached. It is avoided until it answers or is
// gone. Failures count once until the node is due to be asked again; begun tells that
// this one did, and hold when that is.
func (a *Avoider) Failed(node fleet.NodeID) (hold time.Duration, begun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	h := a.holds[node]
	if now.Before(h.until) {
		return 0, false
	}
	h.length = min(max(firstHold, 2*h.length), maxHold)
	h.until = now.Add(h.length)
	a.holds[node] = h
	return h.length, true
}

// Reached tells that a node answered or is gone, and returns whether it had failed before.
func (a *Avoider) Reached(node fleet.NodeID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, failed := a.holds[node]
	delete(a.holds, node)
	return failed
}

// Count returns the number of nodes that are to be avoided at present.
func (a *Avoider) Count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.holds)
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
		if _, found := a.holds[backend.Owner]; found {
			avoided = append(avoided, backend.ID)
		}
		if until, found := a.doubts[backend.ID]; found && now.Before(until) {
			doubted = append(doubted, backend.ID)
		}
	}
	return avoided, doubted
}
