package adopter

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/ring"
)

// Adopter holds the newest configuration. It is safe for concurrent use.
type Adopter struct {
	node      fleet.NodeID
	source    Source
	peers     Peers
	members   func() []fleet.Member
	recorder  Recorder
	clock     clockwork.Clock
	delegator Delegator
	notify    func(context.Context)
	// changes holds a value while other nodes are to be notified of a change.
	changes chan struct{}
	// newerPeers holds the nodes that reported a newer revision.
	newerPeers *ring.Ring[newerPeer]

	mu            sync.RWMutex
	document      Document
	configuration fleet.Configuration
	sourceFailing bool
	// pending holds the newest revisions in newerPeers by address, and that of the node that is
	// queried.
	pending map[string]fleet.Revision
	// peerRead is the time of the newest answered read of the source by another node.
	peerRead time.Time
}

// New returns an adopter without a configuration; Run follows the source.
func New(node fleet.NodeID, source Source, options ...Option) *Adopter {
	a := &Adopter{
		node:       node,
		source:     source,
		peers:      noPeers{},
		members:    func() []fleet.Member { return nil },
		recorder:   noRecorder{},
		clock:      clockwork.NewRealClock(),
		delegator:  alwaysReads{},
		notify:     func(context.Context) {},
		changes:    make(chan struct{}, 1),
		pending:    make(map[string]fleet.Revision),
		newerPeers: ring.New[newerPeer](maxPendingPeers),
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Configuration returns the newest configuration.
func (a *Adopter) Configuration() fleet.Configuration {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.configuration
}

// Ready reports whether there is a configuration.
func (a *Adopter) Ready() bool { return a.Document().Revision > 0 }

// Document returns the newest document, or the zero document before the first one.
func (a *Adopter) Document() Document {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.document
}

// SourceReachable reports whether the last call to the source succeeded.
func (a *Adopter) SourceReachable() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return !a.sourceFailing
}

// LastConfirmed returns the time of the last successful call to the source, or the zero
// time before the first one.
func (a *Adopter) LastConfirmed() time.Time { return a.source.LastAnswer() }

// Run follows the source, and other nodes while it fails, until ctx is done. While this
// node does not read the source, it only hears of changes from other nodes.
func (a *Adopter) Run(ctx context.Context) error {
	var background sync.WaitGroup
	defer background.Wait()
	background.Go(func() { a.followPeers(ctx) })
	background.Go(func() { a.notifyChanges(ctx) })
	background.Go(func() { a.watchReads(ctx) })
	pause := minPause
	var read fleet.Revision
	for ctx.Err() == nil {
		if !a.delegator.Reads() {
			a.sleep(ctx, delegationInterval)
			continue
		}
		document, err := a.source.Next(ctx, a.Document().Revision)
		if ctx.Err() != nil {
			break
		}
		a.updateSourceStatus(err)
		adopted := a.adopt(document, "source")
		if document.Revision > read {
			// Also if it was adopted from another node a moment before: that node need
			// not notify the same ones.
			read = document.Revision
			a.requestNotification()
		}
		if err != nil {
			a.queryPeers(ctx)
			a.sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, maxPause)
			continue
		}
		pause = minPause
		if adopted {
			a.sleep(ctx, changePause)
		}
	}
	return ctx.Err()
}

// RecordPeerRevision records the revision that another node reported; a newer one is fetched from it.
func (a *Adopter) RecordPeerRevision(from fleet.Member, revision fleet.Revision) {
	if revision <= a.Document().Revision || from.PeerAddress == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending[from.PeerAddress] < revision && a.newerPeers.Push(newerPeer{from.PeerAddress, revision}) {
		a.pending[from.PeerAddress] = revision
	}
}

// newerPeer is a node that reported a newer revision.
type newerPeer struct {
	address  string
	revision fleet.Revision
}

// requestNotification has the other nodes notified of the newest change.
func (a *Adopter) requestNotification() {
	select {
	case a.changes <- struct{}{}:
	default:
	}
}

// notifyChanges notifies other nodes of changes until ctx is done.
func (a *Adopter) notifyChanges(ctx context.Context) {
	for {
		select {
		case <-a.changes:
			a.notify(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// followPeers fetches the documents of the nodes in newerPeers until ctx is done, except where
// the revision has been adopted meanwhile.
func (a *Adopter) followPeers(ctx context.Context) {
	for {
		peer, found := a.newerPeers.Pop(ctx)
		if !found {
			return
		}
		if peer.revision > a.Document().Revision {
			a.fetch(ctx, peer.address)
		}
		a.removePending(peer)
	}
}

// removePending forgets a report unless the node has reported a newer revision since.
func (a *Adopter) removePending(peer newerPeer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending[peer.address] == peer.revision {
		delete(a.pending, peer.address)
	}
}

// queryPeers fetches the documents of a few random live nodes.
func (a *Adopter) queryPeers(ctx context.Context) {
	var others []string
	for _, m := range a.members() {
		if m.ID != a.node && m.IsLive() {
			others = append(others, m.PeerAddress)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var calls sync.WaitGroup
	for _, address := range others[:min(len(others), fanout)] {
		calls.Go(func() { a.fetch(ctx, address) })
	}
	calls.Wait()
}

// fetch adopts the document of one node. A failed call is not retried here: the next
// report of a newer revision queries the node again.
func (a *Adopter) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	document, err := a.peers.Fetch(ctx, address, a.Document().Revision)
	if err != nil {
		a.recorder.Record(fleet.NewEvent(fleet.EventSkipped, address, "configuration not fetched: "+err.Error()))
		return
	}
	if a.adopt(document, address) {
		a.requestNotification()
	}
}

// adopt puts a document in force if it is newer, and reports whether it did.
func (a *Adopter) adopt(document Document, origin string) bool {
	if document.Revision <= a.Document().Revision {
		return false
	}
	configuration, err := a.source.Decode(document)
	if err != nil {
		a.recorder.Record(fleet.NewEvent(fleet.EventSkipped, origin, "configuration cannot be read: "+err.Error()))
		return false
	}
	if !a.replace(document, configuration.WithRevision(document.Revision)) {
		return false
	}
	a.recorder.Record(fleet.NewEvent(fleet.EventConfigurationAccepted, origin, "configuration in force",
		fleet.Figure{Name: "revision", Value: float64(document.Revision)}))
	return true
}

func (a *Adopter) replace(document Document, configuration fleet.Configuration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if document.Revision <= a.document.Revision {
		return false
	}
	a.document, a.configuration = document, configuration
	return true
}

// updateSourceStatus updates the status of the source after a call, and records an
// event when the source became unreachable or reachable.
func (a *Adopter) updateSourceStatus(err error) {
	a.mu.Lock()
	changed := a.sourceFailing != (err != nil)
	a.sourceFailing = err != nil
	a.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		a.recorder.Record(fleet.NewEvent(fleet.EventLogService, "source", "lost: "+cause(err)))
	default:
		a.recorder.Record(fleet.NewEvent(fleet.EventLogService, "source", "regained"))
	}
}

// cause returns the text of the innermost error.
func cause(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

func (a *Adopter) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.clock.After(d):
	}
}
