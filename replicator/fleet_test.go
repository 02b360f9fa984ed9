package replicator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/replicator"
	"cowsliptally.example/cowsliptally/standin/logservice/server"
)

// jumpClock is the clock of the bubble with an offset that can jump, as after a
// pause of the process.
type jumpClock struct {
	clockwork.Clock
	offset atomic.Int64
}

func (c *jumpClock) Now() time.Time {
	return c.Clock.Now().Add(time.Duration(c.offset.Load()))
}

func (c *jumpClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// node is one replicator with its own connection to the log.
type node struct {
	*replicator.Replicator
	name      string
	logClient *server.LocalClient
	clock     *jumpClock
	stop      func()
	// isolated is set while its peers cannot be reached.
	isolated atomic.Bool
	mu       sync.Mutex
	kinds    map[fleet.EventKind]int
}

func (n *node) Record(e fleet.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kinds[e.Kind]++
}

func (n *node) count(kind fleet.EventKind) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.kinds[kind]
}

// nodes is a fleet on one log service.
type nodes struct {
	t    *testing.T
	logs *server.Server
	// readbackTimeout bounds how long the nodes wait for an append to be read back.
	readbackTimeout time.Duration
	mu              sync.Mutex
	all             []*node
}

// start adds a node whose peers are all other nodes.
func (f *nodes) start(name string) *node {
	return f.launch(name, false)
}

// startIsolated adds a node that reaches no peer from the start.
func (f *nodes) startIsolated(name string) *node {
	return f.launch(name, true)
}

func (f *nodes) launch(name string, isolated bool) *node {
	n := &node{name: name, logClient: server.NewLocalClient(f.logs), clock: &jumpClock{Clock: clockwork.NewRealClock()}, kinds: map[fleet.EventKind]int{}}
	n.isolated.Store(isolated)
	n.Replicator = replicator.New(n.logClient, replicator.WithPeers(peers{f, n}), replicator.WithClock(n.clock), replicator.WithRecorder(n), replicator.WithReadbackTimeout(f.readbackTimeout))
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	n.stop = func() {
		cancel()
		<-done
		f.remove(n)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, n)
	return n
}

func (f *nodes) remove(gone *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var left []*node
	for _, n := range f.all {
		if n != gone {
			left = append(left, n)
		}
	}
	f.all = left
}

func (f *nodes) list() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.all...)
}

type peers struct {
	nodes *nodes
	self  *node
}

func (p peers) FetchStates(ctx context.Context, known uint64) (int, []*cowsliptallyv1.FetchStateResponse) {
	const fanout = 3
	all := p.nodes.list()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	queried, responses := 0, []*cowsliptallyv1.FetchStateResponse(nil)
	for _, n := range all {
		if n == p.self || queried == fanout {
			continue
		}
		queried++
		request := connect.NewRequest(&cowsliptallyv1.FetchStateRequest{KnownOffset: known})
		response, err := n.FetchState(ctx, request)
		if err != nil || n.isolated.Load() || p.self.isolated.Load() {
			continue
		}
		responses = append(responses, response.Msg)
	}
	return queried, responses
}

// readbackTimeout bounds the usual wait for an append to be read back.
const readbackTimeout = 10 * time.Second

// inBubble runs a test of a fleet of count nodes in virtual time.
func inBubble(t *testing.T, count int, test func(t *testing.T, f *nodes)) {
	synctest.Test(t, func(t *testing.T) {
		f := &nodes{t: t, logs: server.New(), readbackTimeout: readbackTimeout}
		for i := range count {
			f.start(fmt.Sprintf("n%d", i))
		}
		time.Sleep(time.Second)
		test(t, f)
		for _, n := range f.list() {
			n.stop()
		}
	})
}

func floorProposal(operation string, base uint64, floor uint32) *cowsliptallyv1.Proposal {
	put := &cowsliptallyv1.Service{Name: "ledger", MinHealthySlots: floor}
	change := &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutService{PutService: put}}
	return &cowsliptallyv1.Proposal{Operation: operation, BaseRevision: base, Author: "a", Changes: []*cowsliptallyv1.Change{change}}
}

// accept proposes a change of the current revision at one node and requires that
// it is accepted.
func accept(t *testing.T, n *node, operation string) uint64 {
	t.Helper()
	result, err := n.Propose(t.Context(), floorProposal(operation, revision(n), 1))
	if err != nil || result.GetRevision() == 0 {
		t.Fatalf("operation %s at %s: result %v, error %v", operation, n.name, result, err)
	}
	return result.GetRevision()
}

func revision(n *node) uint64 { return uint64(n.Configuration().Revision()) }

// within waits until the condition holds, at most for limit of virtual time.
func within(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}
