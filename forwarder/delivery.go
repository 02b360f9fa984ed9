package forwarder

import (
	"context"
	"net/textproto"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/arbiter"
	"cowsliptally.example/cowsliptally/fleet"
)

// delivery is an attempt that is sent to an owner, and what the owner told about it.
type delivery struct {
	submission *submission
	owner      fleet.Member
	number     int
	ticket     string
	clock      clockwork.Clock
	stops      stopRecorder
	// successor is that attempt once this one is given up for it.
	successor atomic.Pointer[successor]
	// connected is set once there is a connection for the attempt: it may be sent from then on.
	connected atomic.Bool
	// waiting is set while the last that the owner told is that the attempt waits, and that
	// it will tell before it dispatches it.
	waiting atomic.Bool
	// answer is what the owner answered last when it was asked for a seal while it was silent;
	// nil if it was not asked.
	answer atomic.Pointer[sealAnswer]
	// renewal renews the connections to the owner once.
	renewal sync.Once
	// cancel ends the exchange with the owner. superseded is done once the hedge was answered before, as supersede tells.
	cancel, supersede context.CancelFunc
	superseded        context.Context

	// mu guards what follows.
	mu sync.Mutex
	// known is what is known about the attempt.
	known arbiter.Attempt
	// succession finds the attempt that follows if this one is given up although it may run; nil if
	// none may.
	succession *succession
	// reserved is the attempt that follows while a slot is reserved for it; nil if none is.
	reserved *successor
	// stoppingAt is when the owner told that its node stops; zero before.
	stoppingAt time.Time
	// hedges holds the attempts that were made beside this one; all but the last have failed.
	hedges []*hedge
	// ended is set once the exchange has ended.
	ended bool
}

// stopRecorder records when nodes end that have told that they stop.
type stopRecorder interface {
	RecordEnd(node fleet.NodeID, at time.Time)
}

// sealAnswer is the answer to a request for a seal. With an error, there was none.
type sealAnswer struct {
	sealed bool
	err    error
}

func (f *Forwarder) newDelivery(s *submission, owner fleet.Member, number int) *delivery {
	d := &delivery{
		submission: s, owner: owner, number: number, ticket: f.tickets.get(owner.ID), clock: f.clock, stops: f.breaker, succession: s.succession,
		known: arbiter.New(f.clock.Now(), s.deadline),
	}
	d.superseded, d.supersede = context.WithCancel(context.Background())
	return d
}

// follow returns what finds the attempt that follows; nil if none may.
func (d *delivery) follow() *succession {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.succession
}

// recordProgress records an informational response of the owner.
func (d *delivery) recordProgress(header textproto.MIMEHeader) {
	waits := header.Get(fleet.HeaderProgress) == fleet.ProgressWaiting
	d.waiting.Store(waits)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.known = d.known.WithProgress(now)
	if waits {
		d.known = d.known.WithWaiting()
	} else {
		d.known = d.known.WithDispatch(now)
	}
	left, err := strconv.ParseInt(header.Get(fleet.HeaderEnds), 10, 32)
	if err != nil {
		return // the owner's node does not stop
	}
	if d.stoppingAt.IsZero() {
		d.stoppingAt = now
	}
	end := now.Add(time.Duration(left) * time.Millisecond)
	d.known = d.known.WithNodeEnd(end)
	d.stops.RecordEnd(d.owner.ID, end)
}

// mayBeAtWork reports whether a backend server may be at work on the attempt while it is in flight.
func (d *delivery) mayBeAtWork() bool { return d.connected.Load() && !d.waiting.Load() }

// update changes what is known about the attempt.
func (d *delivery) update(change func(arbiter.Attempt) arbiter.Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = change(d.known)
}

// recordSearch records the result of a search for a slot: the attempt that follows, or nil.
func (d *delivery) recordSearch(reserved *successor) {
	d.mu.Lock()
	defer d.mu.Unlock()
	search := arbiter.NoSlot
	if reserved != nil {
		search = arbiter.SlotReserved
	}
	d.reserved = reserved
	d.known = d.known.WithSearch(search, d.clock.Now())
}

// giveUp records that this attempt is given up for the one whose slot is reserved.
func (d *delivery) giveUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.successor.Store(d.reserved)
}

// goOn records that this attempt is not given up.
func (d *delivery) goOn() { d.successor.Store(nil) }

// following returns the attempt that follows this one, which ended for a reason and without an answer; nil if no
// slot is reserved for one.
func (d *delivery) following(reason fleet.Reason) *successor {
	if reason != fleet.ReasonStalled && reason != fleet.ReasonStopped {
		return nil
	}
	if next := d.successor.Load(); next != nil || reason == fleet.ReasonStalled {
		return next
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known.WithEnding(arbiter.NodeEnded).Next(d.clock.Now()) != arbiter.Move {
		return nil
	}
	return d.reserved
}

// next returns the next step.
func (d *delivery) next(now time.Time) arbiter.Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Next(now)
}

// ownerStopping returns for how long the owner's node has been stopping, and whether it has told so.
func (d *delivery) ownerStopping() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stoppingAt.IsZero() {
		return 0, false
	}
	return d.clock.Since(d.stoppingAt), true
}
