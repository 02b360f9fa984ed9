// Package sealer records which attempts an owner dispatched and which it guarantees
// never to dispatch. It does no I/O.
//
// Every attempt carries a ticket: the owner's own time stamp, taken from an
// earlier answer. Entries are removed after the window, or earlier when the
// capacity is reached; attempts and seals whose ticket is not newer than the last
// removed entry are refused, so the removal never violates a seal. Only the
// owner's clock is used, and a restarted owner refuses every older ticket.
package sealer

import (
	"container/list"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

// Sealer decides which attempts may be dispatched. It is safe for concurrent use.
type Sealer struct {
	node     fleet.NodeID
	clock    clockwork.Clock
	start    time.Time
	window   time.Duration
	capacity int

	mu      sync.Mutex
	entries map[fleet.RequestID]*list.Element
	// order holds the entries by time of change, oldest first.
	order *list.List
	// floor is the time of the newest removed entry; tickets up to it are stale.
	floor time.Duration
}

// New returns a sealer for one run of a node.
func New(node fleet.NodeID, clock clockwork.Clock, options ...Option) *Sealer {
	s := &Sealer{
		node:     node,
		clock:    clock,
		start:    clock.Now(),
		window:   DefaultWindow,
		capacity: DefaultCapacity,
		entries:  make(map[fleet.RequestID]*list.Element),
		order:    list.New(),
		floor:    -1,
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Ticket returns a ticket with the current time for the next attempts.
func (s *Sealer) Ticket() string {
	return formatTicket(s.node, s.clock.Since(s.start))
}

// Fresh reports whether an attempt with this ticket can still be decided on.
func (s *Sealer) Fresh(ticket string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh(ticket, s.removeExpired())
}

// Begin decides whether to dispatch an attempt. After Begun it counts as dispatched until
// Undo.
func (s *Sealer) Begin(a Attempt) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.removeExpired()
	if a.Number < 1 || a.Number > MaxAttempt || !s.fresh(a.Ticket, now) {
		return Stale
	}
	e := s.touch(a.Request, now)
	bit := uint64(1) << a.Number
	if e.sealed&bit != 0 {
		return Sealed
	}
	if e.dispatched&bit != 0 || a.Once && e.dispatched != 0 {
		return Duplicate
	}
	e.dispatched |= bit
	return Begun
}

// Undo reverts Begin. It may only be called if nothing reached the backend server.
func (s *Sealer) Undo(a Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if element, found := s.entries[a.Request]; found {
		element.Value.(*entry).dispatched &^= uint64(1) << a.Number
	}
}

// Seal guarantees that an attempt will never be dispatched. It returns false if the
// attempt was dispatched or if that can no longer be determined.
func (s *Sealer) Seal(a Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.removeExpired()
	if a.Number < 1 || a.Number > MaxAttempt || !s.fresh(a.Ticket, now) {
		return false
	}
	e := s.touch(a.Request, now)
	bit := uint64(1) << a.Number
	if e.dispatched&bit != 0 {
		return false
	}
	e.sealed |= bit
	return true
}

// Len returns the number of submissions remembered.
func (s *Sealer) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

func (s *Sealer) fresh(ticket string, now time.Duration) bool {
	stamp, valid := parseTicket(s.node, ticket)
	return valid && stamp <= now && stamp > s.floor
}

// touch returns the entry of a submission, created if needed, and marks it as the newest.
func (s *Sealer) touch(request fleet.RequestID, now time.Duration) *entry {
	if element, found := s.entries[request]; found {
		e := element.Value.(*entry)
		e.updated = now
		s.order.MoveToBack(element)
		return e
	}
	if len(s.entries) >= s.capacity {
		s.remove(s.order.Front())
	}
	e := &entry{request: request, updated: now}
	s.entries[request] = s.order.PushBack(e)
	return e
}

// removeExpired removes entries older than the window and returns the time. It must be
// called before fresh, because the removal makes tickets stale.
func (s *Sealer) removeExpired() time.Duration {
	now := s.clock.Since(s.start)
	for front := s.order.Front(); front != nil; front = s.order.Front() {
		if front.Value.(*entry).updated >= now-s.window {
			break
		}
		s.remove(front)
	}
	return now
}

func (s *Sealer) remove(element *list.Element) {
	e := element.Value.(*entry)
	s.floor = max(s.floor, e.updated)
	delete(s.entries, e.request)
	s.order.Remove(element)
}
