package prober_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/prober"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/registrar"
	"cowsliptally.example/cowsliptally/roster"
)

const defaultLatency = 2 * time.Millisecond

var errLost = errors.New("lost")

// network simulates the links between nodes; each direction can fail separately.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	cut   map[[2]string]bool
	calls int
	// looped counts the comparisons that a node sent to its own address.
	looped int
	// compared is called for each comparison that a node sends, with both addresses; nil for none.
	compared func(from, to string)
	// joining holds the addresses of nodes that answer comparisons as if they had not joined.
	joining map[string]bool
	// latency is the one-way delay.
	latency time.Duration
	// watch is called for each event that a node's journal records.
	watch func(at *node, event fleet.Event)
	// progress returns the progress of a node; nil for none.
	progress func(n *node) prober.Progress
}

// node is a simulated node of the fleet.
type node struct {
	network   *network
	self      fleet.Member
	roster    *roster.Roster
	prober    *prober.Prober
	registrar *registrar.Registrar
	// quarantiner holds the crashes that the node knows of.
	quarantiner *quarantiner.Quarantiner
	stop        context.CancelFunc
	done        chan struct{}

	mu     sync.Mutex
	thawed chan struct{}
}

func newNetwork() *network {
	return &network{nodes: make(map[string]*node), cut: make(map[[2]string]bool), latency: defaultLatency}
}

// start starts a node at an address; the name is its identifier.
func (w *network) start(name, address string, seeds ...string) *node {
	n := &node{network: w, done: make(chan struct{}), thawed: make(chan struct{})}
	close(n.thawed)
	n.self = fleet.Member{ID: fleet.NodeID(name), PeerAddress: address, Zone: "z"}
	clock := pausable{Clock: clockwork.NewRealClock(), node: n}
	n.roster = roster.New(roster.WithClock(clock))
	n.quarantiner = quarantiner.New(clock)
	n.registrar = registrar.New(n.self.ID, "z", registrar.WithClock(clock), registrar.WithDirectory(n.roster))
	seed := uint64(len(name)) + uint64(len(w.nodes))<<8
	options := []prober.Option{
		prober.WithClock(clock), prober.WithSeeds(seeds...),
		prober.WithRandom(seed), prober.WithOwner(n.registrar), prober.WithJournal(n),
		prober.WithQuarantine(n.quarantiner),
	}
	if w.progress != nil {
		options = append(options, prober.WithProgress(w.progress(n)))
	}
	n.prober = prober.New(n.self, n.roster, link{from: n}, options...)
	n.registrar.Watch(n.prober)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = func() { cancel(); <-n.done }
	w.mu.Lock()
	w.nodes[address] = n
	w.mu.Unlock()
	go func() {
		defer close(n.done)
		go func() { _ = n.registrar.Run(ctx) }()
		_ = n.prober.Run(ctx)
	}()
	return n
}

// fleetOf starts count nodes with the first two as seeds.
func (w *network) fleetOf(count int) []*node {
	var nodes []*node
	for i := range count {
		nodes = append(nodes, w.start(fmt.Sprintf("n%d", i), address(i), address(0), address(1)))
	}
	return nodes
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func (w *network) stopAll() {
	w.mu.Lock()
	nodes := maps.Clone(w.nodes)
	w.mu.Unlock()
	for _, n := range nodes {
		n.thaw()
		n.stop()
	}
	time.Sleep(2 * time.Minute) // lets the timers of stopped nodes run out
}

func (w *network) setWatch(watch func(at *node, event fleet.Event)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch = watch
}

// kill stops a node without an announcement.
func (w *network) kill(n *node) {
	w.mu.Lock()
	if w.nodes[n.self.PeerAddress] == n {
		delete(w.nodes, n.self.PeerAddress)
	}
	w.mu.Unlock()
	n.stop()
}

func (w *network) setCut(from, to *node, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{from.self.PeerAddress, to.self.PeerAddress}] = cut
}

func (w *network) open(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cut[[2]string{from, to}]
}

func (w *network) at(address string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	return w.nodes[address]
}

func (w *network) countLoop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looped++
}

// Record implements prober.Journal.
func (n *node) Record(event fleet.Event) {
	n.network.mu.Lock()
	watch := n.network.watch
	n.network.mu.Unlock()
	if watch != nil {
		watch(n, event)
	}
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.thawed = make(chan struct{})
}

func (n *node) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.thawed:
	default:
		close(n.thawed)
	}
}

// waitUntilThawed blocks while the node is paused.
func (n *node) waitUntilThawed() {
	n.mu.Lock()
	thawed := n.thawed
	n.mu.Unlock()
	<-thawed
}

func (n *node) announce(id, service string, state cowsliptallyv1.BackendState) error {
	_, err := n.registrar.Announce(context.Background(), connect.NewRequest(&cowsliptallyv1.AnnounceRequest{
		Id: id, Service: service, Address: "127.0.0.1:1", Slots: 4, State: state,
	}))
	return err
}

// pausable is a clock whose timers fire late while the node is paused.
type pausable struct {
	clockwork.Clock
	node *node
}

func (c pausable) After(d time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	go func() {
		time.Sleep(d)
		c.node.waitUntilThawed()
		fired <- time.Now()
	}()
	return fired
}

// sees reports whether a node records another one in the given state.
func (n *node) sees(other *node, state fleet.MemberState) bool {
	m, found := n.roster.Member(other.self.ID)
	return found && m.State == state
}

func equalTables(t *testing.T, nodes []*node) {
	t.Helper()
	for _, n := range nodes[1:] {
		for i, hash := range n.roster.Buckets() {
			if hash != nodes[0].roster.Buckets()[i] {
				t.Errorf("%s and %s differ in bucket %d:\n%v\n%v", nodes[0].self.ID, n.self.ID, i,
					nodes[0].roster.Members(), n.roster.Members())
				return
			}
		}
	}
}
