package adopter

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// minPause and maxPause bound the backoff after a failed call to the source. It
	// doubles with each failure so that an overloaded source gets fewer calls, as all nodes may
	// read it. maxPause is also how late a node reads a source that it reaches again.
	minPause = 250 * time.Millisecond
	maxPause = 2 * time.Second
	// changePause is the time from a change until the source is queried again, so that
	// successive changes are fetched in one call. It is a small part of the seconds in
	// which a change has to be in force.
	changePause = 400 * time.Millisecond
	// delegationInterval is the time between two checks whether this node reads the source.
	delegationInterval = 500 * time.Millisecond
	// fetchTimeout is the time limit of a call to another node.
	fetchTimeout = 400 * time.Millisecond
	// fanout is the number of nodes that are queried at a time while the source fails:
	// of two random nodes at least one usually reaches the source when most nodes do.
	fanout = 2
	// maxPendingPeers is the number of nodes with a newer revision that may wait to be
	// queried; further ones are dropped.
	maxPendingPeers = 16
)

// Option changes a setting of an Adopter.
type Option func(*Adopter)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(a *Adopter) { a.clock = clock }
}

// WithPeers sets the client of other nodes and the function that lists the nodes.
func WithPeers(peers Peers, members func() []fleet.Member) Option {
	return func(a *Adopter) { a.peers, a.members = peers, members }
}

// WithDelegator sets who decides whether this node reads the source. The function notify
// is called after each change, one call at a time; it tells other nodes the revision.
func WithDelegator(delegator Delegator, notify func(context.Context)) Option {
	return func(a *Adopter) { a.delegator, a.notify = delegator, notify }
}

// WithRecorder sets the recorder of events.
func WithRecorder(recorder Recorder) Option {
	return func(a *Adopter) { a.recorder = recorder }
}
