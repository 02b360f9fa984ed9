package prober_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/adopter"
	"cowsliptally.example/cowsliptally/delegator"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/prober"
)

const (
	// applyTime is the time in which a change has to be in force everywhere.
	applyTime = 2 * time.Second
	// settleTime is the time in which the nodes of a new fleet find each other.
	settleTime = 2 * time.Second
	// longPoll is how long one read of the operator's store waits.
	longPoll = 30 * time.Second
)

// operator is the store that holds the configuration.
type operator struct {
	mu       sync.Mutex
	revision fleet.Revision
	changed  chan struct{}
	// blind holds the nodes whose reads get no answer.
	blind map[fleet.NodeID]bool
	calls int
	nodes map[fleet.NodeID]*follower
	// readers is the number of nodes that may read; 0 is the default.
	readers int
}

// follower is a node that follows the operator's store; it is its prober's Progress.
type follower struct {
	operator  *operator
	node      *node
	adopter   *adopter.Adopter
	delegator *delegator.Delegator
	stop      context.CancelFunc
	// answered is when the store last answered; operator.mu guards it.
	answered time.Time
}

func newOperator() *operator {
	return &operator{changed: make(chan struct{}), blind: map[fleet.NodeID]bool{}, nodes: map[fleet.NodeID]*follower{}}
}

func (o *operator) add(n *node) *follower {
	f := &follower{operator: o, node: n}
	options := []delegator.Option{delegator.WithLastRead(func() time.Time { return f.adopter.LastRead() })}
	if o.readers > 0 {
		options = append(options, delegator.WithReaders(func() int { return o.readers }))
	}
	f.delegator = delegator.New(n.self.ID, n.roster.Members, settleTime, options...)
	f.adopter = adopter.New(n.self.ID, f,
		adopter.WithClock(pausable{Clock: clockwork.NewRealClock(), node: n}),
		adopter.WithPeers(f, n.roster.Members),
		adopter.WithDelegator(f.delegator, func(ctx context.Context) { n.prober.Notify(ctx, f.delegator.Targets()) }))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nodes[n.self.ID] = f
	return f
}

// write changes the configuration.
func (o *operator) write() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revision++
	close(o.changed)
	o.changed = make(chan struct{})
}

// follower returns the follower on a node, or nil if the node was killed.
func (o *operator) follower(id fleet.NodeID) *follower {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.nodes[id]
}

// run has a node follow the store until ctx is done or the node is removed.
func (o *operator) run(ctx context.Context, n *node) {
	f := o.follower(n.self.ID)
	ctx, f.stop = context.WithCancel(ctx)
	go func() { _ = f.adopter.Run(ctx) }()
}

// remove ends a node that follows the store.
func (o *operator) remove(id fleet.NodeID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nodes[id].stop()
	delete(o.nodes, id)
}

// current returns the newest revision and the number of calls so far.
func (o *operator) current() (fleet.Revision, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.revision, o.calls
}

func (o *operator) setBlind(id fleet.NodeID, blind bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.blind[id] = blind
}

func (o *operator) state(id fleet.NodeID) (fleet.Revision, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.blind[id] {
		return 0, nil
	}
	return o.revision, o.changed
}

// Next implements adopter.Source.
func (f *follower) Next(ctx context.Context, known fleet.Revision) (adopter.Document, error) {
	f.operator.mu.Lock()
	f.operator.calls++
	f.operator.mu.Unlock()
	timeout := time.NewTimer(longPoll)
	defer timeout.Stop()
	for {
		revision, changed := f.operator.state(f.node.self.ID)
		if revision > known {
			f.node.waitUntilThawed()
			f.recordAnswer()
			return adopter.Document{Revision: revision, Content: []byte("x")}, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			if _, changed := f.operator.state(f.node.self.ID); changed == nil {
				return adopter.Document{}, errors.New("no answer")
			}
			f.recordAnswer()
			return adopter.Document{}, nil
		case <-ctx.Done():
			return adopter.Document{}, ctx.Err()
		}
	}
}

func (f *follower) recordAnswer() {
	f.operator.mu.Lock()
	defer f.operator.mu.Unlock()
	f.answered = time.Now()
}

func (f *follower) Decode(adopter.Document) (fleet.Configuration, error) {
	return fleet.Configuration{}, nil
}

// Fetch implements adopter.Peers.
func (f *follower) Fetch(ctx context.Context, address string, known fleet.Revision) (adopter.Document, error) {
	time.Sleep(f.node.network.latency)
	other := f.node.network.at(address)
	if other == nil || !f.node.network.open(f.node.self.PeerAddress, address) {
		return adopter.Document{}, errors.New("no answer")
	}
	answering := f.operator.follower(other.self.ID)
	time.Sleep(f.node.network.latency)
	if answering == nil {
		return adopter.Document{}, errors.New("no answer")
	}
	document := answering.adopter.Document()
	if document.Revision <= known {
		return adopter.Document{}, ctx.Err()
	}
	return document, ctx.Err()
}

// LastAnswer implements adopter.Source.
func (f *follower) LastAnswer() time.Time {
	f.operator.mu.Lock()
	defer f.operator.mu.Unlock()
	return f.answered
}

func (f *follower) Progress() fleet.Progress {
	return fleet.Progress{Revision: f.adopter.Document().Revision, LastRead: f.adopter.LastRead()}
}

func (f *follower) RecordPeerProgress(from fleet.Member, progress fleet.Progress) {
	f.adopter.RecordPeerRevision(from, progress.Revision)
	f.adopter.RecordPeerRead(progress.LastRead)
}

func (f *follower) FetchState(context.Context, uint64) (*cowsliptallyv1.Checkpoint, error) {
	return nil, nil
}

// TestChangesAreInForceInTimeWithFewReaders changes the configuration of a fleet of which a
// few nodes read it: in calm, and at the moment at which many of the readers get no answer,
// are killed or are paused.
func TestChangesAreInForceInTimeWithFewReaders(t *testing.T) {
	for _, count := range []int{5, 27, 120} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testChanges(t, count) })
		})
	}
}

// startFollowers starts a fleet whose nodes follow an operator's store, until the test ends.
func startFollowers(t *testing.T, count int) (*network, *operator, []*node) {
	w := newNetwork()
	o := newOperator()
	w.progress = func(n *node) prober.Progress { return o.add(n) }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(w.stopAll)
	t.Cleanup(cancel)
	nodes := w.fleetOf(count)
	for _, n := range nodes {
		o.run(ctx, n)
	}
	return w, o, nodes
}

// TestNewestReadIsKnownToAllNodes guards against nodes that take the source for unread while
// others read it.
func TestNewestReadIsKnownToAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, o, nodes := startFollowers(t, 120)
		time.Sleep(30 * time.Second)
		o.write()
		written := time.Now()
		time.Sleep(8 * time.Second)
		for _, n := range nodes {
			if last := o.follower(n.self.ID).adopter.LastRead(); last.Before(written) {
				t.Errorf("%s knows of no read since the change, only of one %s before", n.self.ID, written.Sub(last))
			}
		}
	})
}

func testChanges(t *testing.T, count int) {
	is := is.New(t)
	w, o, nodes := startFollowers(t, count)
	time.Sleep(10 * time.Second)
	o.write()
	time.Sleep(20 * time.Second)
	readers := min(count, delegator.DefaultReaders)
	_, calls := o.current()
	is.True(calls <= 4*readers) // also while the fleet forms
	faults := map[string]func(n *node){
		"calm":   func(*node) {},
		"blind":  func(n *node) { o.setBlind(n.self.ID, true) },
		"kill":   func(n *node) { o.remove(n.self.ID); w.kill(n) },
		"freeze": func(n *node) { n.freeze() },
	}
	for _, kind := range []string{"calm", "blind", "freeze", "kill"} {
		var failed []*node
		for _, n := range nodes {
			// Five in six of the readers fail.
			if f := o.follower(n.self.ID); f != nil && f.delegator.Reads() && len(failed) < readers*5/6 {
				failed = append(failed, n)
			}
		}
		for _, n := range failed {
			faults[kind](n)
		}
		o.write()
		time.Sleep(applyTime)
		newest, _ := o.current()
		behind := 0
		for _, n := range nodes {
			f := o.follower(n.self.ID)
			if f == nil || kind == "freeze" && slices.Contains(failed, n) {
				continue
			}
			if f.adopter.Document().Revision != newest {
				behind++
			}
		}
		if behind > 0 {
			t.Errorf("%s: %d of %d nodes are behind", kind, behind, count)
		}
		for _, n := range failed {
			o.setBlind(n.self.ID, false)
			n.thaw()
		}
		time.Sleep(40 * time.Second)
	}
}
