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
	// DefaultReaders is the number of nodes that read the source if its rates are not known.
	DefaultReaders = 12
	// announcerCount is the number of nodes that divide the notification of all others among them.
	// Failures that only some nodes see, and cuts of an availability zone, leave some of them.
	announcerCount = 12
	// takeover is the age of the newest answered read from which as many further nodes read, and
	// as many again each time that it passes. It is longer than the news of a read takes to reach
	// all nodes, and spreads the calls to a source that nobody reaches.
	takeover = 10 * time.Second
	// DefaultNotifiers is the number of announcers that notify each other node.
	DefaultNotifiers = 3
	// DefaultRelays is the number of random nodes that a node notifies once it has heard of
	// a change itself. They reach those whose notifiers all failed.
	DefaultRelays = 2

	readTask   = "read"
	notifyTask = "notify/"
)

// Delegator decides for one node. It is safe for concurrent use.
type Delegator struct {
	self    fleet.NodeID
	members func() []fleet.Member
	clock   clockwork.Clock
	// readers returns how many nodes may read while reads are answered.
	readers func() int
	// lastRead returns the time of the newest answered read that this node knows of.
	lastRead  func() time.Time
	started   time.Time
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

// WithReaders sets the function that returns how many nodes may read the source at a time.
func WithReaders(readers func() int) Option {
	return func(d *Delegator) { d.readers = readers }
}

// WithLastRead sets the function that returns the time of the newest answered read of the source
// by any node that this one knows of, or the zero time.
func WithLastRead(lastRead func() time.Time) Option {
	return func(d *Delegator) { d.lastRead = lastRead }
}

// New returns the delegator of a node. It decides from the members as this node knows
// them. For the settle time the node does not read, so that it first learns of the others. It
// ends early when the node knows of an answered read: then it has met a fleet that counts it
// among its readers. With 0 it reads at once unless it knows enough others.
func New(self fleet.NodeID, members func() []fleet.Member, settle time.Duration, options ...Option) *Delegator {
	d := &Delegator{
		self: self, members: members, clock: clockwork.NewRealClock(),
		readers:   func() int { return DefaultReaders },
		lastRead:  func() time.Time { return time.Time{} },
		notifiers: DefaultNotifiers, relays: DefaultRelays,
	}
	for _, option := range options {
		option(d)
	}
	d.started = d.clock.Now()
	d.readsFrom = d.clock.Now().Add(settle)
	return d
}

// Reads reports whether this node reads the source.
func (d *Delegator) Reads() bool {
	return !d.settles() && selector.New(d.members()).Rank(d.self, readTask) < d.limit()
}

// settles reports whether this node does not read yet, as it may not know the others.
func (d *Delegator) settles() bool {
	return d.lastRead().IsZero() && d.clock.Now().Before(d.readsFrom)
}

// limit returns how many nodes may read now. It grows while no read is answered, since the nodes
// that read are chosen by rank and need not be those that reach the source.
func (d *Delegator) limit() int {
	last := d.lastRead()
	if last.Before(d.started) {
		last = d.started
	}
	return d.readers() * (1 + int(d.clock.Since(last)/takeover))
}

// Announces reports whether this node is one of those that divide the notification of all others
// among them.
func (d *Delegator) Announces() bool {
	return selector.New(d.members()).Rank(d.self, readTask) < announcerCount
}

// Targets returns the members that this node notifies of a change: one of the announcers those
// that it is responsible for, another node a few random ones.
func (d *Delegator) Targets() []fleet.Member {
	members := d.members()
	announcers := selector.New(members).First(announcerCount, readTask)
	others := slices.DeleteFunc(slices.Clone(members), func(m fleet.Member) bool {
		return m.ID == d.self || !m.IsLive()
	})
	if !slices.Contains(announcers, d.self) {
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		return others[:min(len(others), d.relays)]
	}
	return slices.DeleteFunc(others, func(m fleet.Member) bool { return !d.notifies(announcers, m.ID) })
}

// notifies reports whether this node is among the announcers that notify a member.
func (d *Delegator) notifies(announcers []fleet.NodeID, member fleet.NodeID) bool {
	var others []fleet.Member
	for _, announcer := range announcers {
		if announcer != member {
			others = append(others, fleet.Member{ID: announcer, State: fleet.MemberAlive})
		}
	}
	return selector.New(others).Rank(d.self, notifyTask+string(member)) < d.notifiers
}
