package forwarder

import (
	"sync"

	"cowsliptally.example/cowsliptally/fleet"
)

// tickets stores the newest ticket of each owner.
type tickets struct {
	mu     sync.RWMutex
	newest map[fleet.NodeID]string
}

func newTickets() *tickets {
	return &tickets{newest: make(map[fleet.NodeID]string)}
}

func (t *tickets) get(owner fleet.NodeID) string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.newest[owner]
}

func (t *tickets) put(owner fleet.NodeID, ticket string) {
	if ticket == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest[owner] = ticket
}
