package delegator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/selector"
)

const (
	// DefaultReaders is the number of nodes that read the source. Failures of the source
	// that only some nodes see, and cuts of an availability zone, leave some of them.
	DefaultReaders = 12
	// DefaultNotifiers is the number of readers that notify each other node.
	DefaultNotifiers = 3
	// DefaultRelays is the number of random nodes that a node notifies once it has heard of
	// a change itself. They reach those whose notifiers all failed.
	DefaultRelays = 2

	readTask   = "read"
	notifyTask = "notify/"
)

// Delegator decides for one node. It is safe for concurrent use.
type Delegator struct {
	self      fleet.NodeID
	members   func() []fleet.Member
	clock     clockwork.Clock
	readers   int
	notifiers int
	relays    int
	// readsFrom is the time before which this node does not read.
	readsFrom time.Time
}

// Option changes a setting of a delegator.
type Option func(*Delegator)

// WithClock replaces the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(d *Delegator) { d.clock = clock }
}

// WithReaders sets the number of nodes that read the source.
func WithReaders(readers int) Option {
	return func(d *Delegator) { d.readers = readers }
}

// New returns the delegator of a node. It decides from the members as this node knows
// them. For the settle time the node does not read, so that it first learns of the others;
// with 0 it reads at once unless it knows enough others.
func New(self fleet.NodeID, members func() []fleet.Member, settle time.Duration, options ...Option) *Delegator {
	d := &Delegator{
		self: self, members: members, clock: clockwork.NewRealClock(),
		readers: DefaultReaders, notifiers: DefaultNotifiers, relays: DefaultRelays,
	}
	for _, option := range options {
		option(d)
	}
	d.readsFrom = d.clock.Now().Add(settle)
	return d
}

// Reads reports whether this node reads the source.
func (d *Delegator) Reads() bool {
	return !d.clock.Now().Before(d.readsFrom) && selector.New(d.members()).Rank(d.self, readTask) < d.readers
}

// Readers returns the number of nodes that read the source.
func (d *Delegator) Readers() int {
	live := 0
	for _, m := range d.members() {
		if m.State == fleet.MemberAlive {
			live++
		}
	}
	return min(live, d.readers)
}

// Targets returns the members that this node notifies of a change: a reader those that it
// is responsible for, another node a few random ones.
func (d *Delegator) Targets() []fleet.Member {
	members := d.members()
	readers := selector.New(members).First(d.readers, readTask)
	others := slices.DeleteFunc(slices.Clone(members), func(m fleet.Member) bool {
		return m.ID == d.self || !m.IsLive()
	})
	if !slices.Contains(readers, d.self) {
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		return others[:min(len(others), d.relays)]
	}
	return slices.DeleteFunc(others, func(m fleet.Member) bool { return !d.notifies(readers, m.ID) })
}

// notifies reports whether this node is among the readers that notify a member.
func (d *Delegator) notifies(readers []fleet.NodeID, member fleet.NodeID) bool {
	var others []fleet.Member
	for _, reader := range readers {
		if reader != member {
			others = append(others, fleet.Member{ID: reader, State: fleet.MemberAlive})
		}
	}
	return selector.New(others).Rank(d.self, notifyTask+string(member)) < d.notifiers
}
