// Package sealer knows which attempts an owner dispatched and which it promised
// never to dispatch. It does no I/O.
//
// Every attempt carries a ticket: the owner's own time stamp, taken from an
// earlier answer. Entries are forgotten after the window, or earlier when the
// capacity is reached; attempts and seals whose ticket is older than the last
// forgotten entry are refused, so forgetting never breaks a promise. Only the
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
	// floor is the time of the youngest forgotten entry; tickets up to it are stale.
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

// Ticket returns a stamp of the present for the next attempts.
func (s *Sealer) Ticket() string {
	return formatTicket(s.node, s.clock.Since(s.start))
}

// Fresh reports whether an attempt with this ticket can still be judged.
func (s *Sealer) Fresh(ticket string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh(ticket, s.forget())
}

// Begin asks to dispatch an attempt. After Begun it counts as dispatched until Undo.
func (s *Sealer) Begin(a Attempt) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.forget()
	if a.Number < 1 || a.Number > MaxAttempt || !s.fresh(a.Ticket, now) {
		return Stale
	}
	e := s.change(a.Request, now)
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

// Undo takes Begin back; the caller must know that nothing reached the backend server.
func (s *Sealer) Undo(a Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if element, found := s.entries[a.Request]; found {
		element.Value.(*entry).dispatched &^= uint64(1) << a.Number
	}
}

// Seal promises that an attempt will never be dispatched. It returns false when
// the attempt was dispatched or when that can no longer be known.
func (s *Sealer) Seal(a Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.forget()
	if a.Number < 1 || a.Number > MaxAttempt || !s.fresh(a.Ticket, now) {
		return false
	}
	e := s.change(a.Request, now)
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

// change returns the entry of a submission, made if needed, as the youngest one.
func (s *Sealer) change(request fleet.RequestID, now time.Duration) *entry {
	if element, found := s.entries[request]; found {
		e := element.Value.(*entry)
		e.updated = now
		s.order.MoveToBack(element)
		return e
	}
	if len(s.entries) >= s.capacity {
		s.drop(s.order.Front())
	}
	e := &entry{request: request, updated: now}
	s.entries[request] = s.order.PushBack(e)
	return e
}

// forget drops entries whose window ended and returns the time. It goes before
// fresh, because what it drops makes tickets stale.
func (s *Sealer) forget() time.Duration {
	now := s.clock.Since(s.start)
	for front := s.order.Front(); front != nil; front = s.order.Front() {
		if front.Value.(*entry).updated >= now-s.window {
			break
		}
		s.drop(front)
	}
	return now
}

func (s *Sealer) drop(element *list.Element) {
	e := element.Value.(*entry)
	s.floor = max(s.floor, e.updated)
	delete(s.entries, e.request)
	s.order.Remove(element)
}
