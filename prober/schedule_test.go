package prober_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

const (
	scheduleNodes = 8
	// maxCutPeers bounds the peers without a link in both directions, so that the node
	// still counts as reachable.
	maxCutPeers = 3
	// grace is how long after a pause a node may still be declared dead.
	grace = 10 * time.Second
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == "100" {
		_ = flag.Set("rapid.checks", "25")
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// step is one fault or event; a and b pick nodes.
type step struct {
	Kind string
	A, B int
	Wait int
}

func steps() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: rapid.SampledFrom([]string{"cut", "cut", "heal", "freeze", "thaw", "replace", "leave", "start"}).Draw(t, "kind"),
			A:    rapid.IntRange(0, scheduleNodes-1).Draw(t, "a"),
			B:    rapid.IntRange(0, scheduleNodes-1).Draw(t, "b"),
			Wait: rapid.IntRange(0, 6000).Draw(t, "wait"),
		}
	}), 5, 30)
}

// oracle runs one schedule and tracks the expected state of the fleet.
type oracle struct {
	mu         sync.Mutex
	w          *network
	nodes      []*node
	generation int
	frozen     [scheduleNodes]bool
	thawed     [scheduleNodes]time.Time
	ready      map[string]int // backend server to the slot of its VM
	versions   map[string]uint64
	// current is the backend server of each VM.
	current [scheduleNodes]string
	faults  []string
}

// deaths checks that no live reachable node is declared dead.
func (o *oracle) deaths(at *node, event fleet.Event) {
	if event.Kind != fleet.EventMemberState || !strings.HasPrefix(event.Reason, "dead") {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, n := range o.nodes {
		if string(n.self.ID) == event.Subject && !o.frozen[i] && time.Since(o.thawed[i]) > grace {
			o.faults = append(o.faults, fmt.Sprintf("%s declares live %s dead", at.self.ID, event.Subject))
		}
	}
}

// monotonic checks that no node reverted to a lower version of an entry.
func (o *oracle) monotonic() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.nodes {
		for _, m := range n.roster.Members() {
			o.checkVersion(string(n.self.ID)+" "+string(m.ID), m.Incarnation<<3|uint64(m.State))
		}
		for id := range o.ready {
			if b, found := n.roster.Backend(fleet.BackendID(id)); found {
				o.checkVersion(string(n.self.ID)+" "+id, b.Sequence)
			}
		}
	}
}

func (o *oracle) checkVersion(key string, version uint64) {
	if version < o.versions[key] {
		o.faults = append(o.faults, fmt.Sprintf("%s went from %d back to %d", key, o.versions[key], version))
	}
	o.versions[key] = version
}

// announce renews the leases of all backend servers, each second.
func (o *oracle) announce() {
	for id, slot := range o.ready {
		if !o.frozen[slot] {
			_ = o.nodes[slot].announce(id, "ledger", ready)
		}
	}
}

func (o *oracle) wait(d time.Duration) {
	for range d / (500 * time.Millisecond) {
		o.announce()
		time.Sleep(500 * time.Millisecond)
		o.monotonic()
	}
}

func (o *oracle) mayCut(a, b int) bool {
	blocked := func(x int) int {
		count := 0
		for y := range o.nodes {
			one, other := o.nodes[x].self.PeerAddress, o.nodes[y].self.PeerAddress
			if x != y && (!o.w.open(one, other) || !o.w.open(other, one)) {
				count++
			}
		}
		return count
	}
	return a != b && blocked(a) < maxCutPeers && blocked(b) < maxCutPeers
}

func (o *oracle) apply(s step) {
	n := o.nodes[s.A]
	switch s.Kind {
	case "cut":
		if o.mayCut(s.A, s.B) {
			o.w.setCut(n, o.nodes[s.B], true)
		}
	case "heal":
		o.w.setCut(n, o.nodes[s.B], false)
	case "freeze":
		if !o.frozen[s.A] && !o.frozen[(s.A+1)%scheduleNodes] {
			o.setFrozen(s.A, true)
			n.freeze()
		}
	case "thaw":
		o.thaw(s.A)
	case "replace":
		o.thaw(s.A)
		o.w.kill(n)
		o.generation++
		replacement := o.w.start(fmt.Sprintf("n%d-%d", s.A, o.generation), n.self.PeerAddress, address(0), address(1), address(7))
		o.mu.Lock()
		o.nodes[s.A] = replacement
		o.mu.Unlock()
	case "start":
		if o.current[s.A] == "" {
			o.generation++
			o.current[s.A] = fmt.Sprintf("b%d-%d", s.A, o.generation)
			o.ready[o.current[s.A]] = s.A
		}
	case "leave":
		if id := o.current[s.A]; id != "" && !o.frozen[s.A] {
			request := connect.NewRequest(&cowsliptallyv1.LeaveRequest{Id: id})
			if _, err := n.registrar.Leave(context.Background(), request); err == nil {
				delete(o.ready, id)
				o.current[s.A] = ""
			}
		}
	}
	o.wait(time.Duration(s.Wait) * time.Millisecond)
}

func (o *oracle) setFrozen(i int, frozen bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.frozen[i], o.thawed[i] = frozen, time.Now()
}

func (o *oracle) thaw(i int) {
	if o.frozen[i] {
		o.setFrozen(i, false)
		o.nodes[i].thaw()
	}
}

// settle ends all faults and checks that every node's table matches the expected state.
func (o *oracle) settle() {
	for i := range o.nodes {
		o.thaw(i)
	}
	o.w.mu.Lock()
	clear(o.w.cut)
	o.w.mu.Unlock()
	o.wait(90 * time.Second)
	for _, n := range o.nodes {
		alive := 0
		for _, m := range n.roster.Members() {
			if m.State == fleet.MemberAlive {
				alive++
			}
		}
		if alive != scheduleNodes {
			o.faults = append(o.faults, fmt.Sprintf("%s sees %d nodes alive: %v", n.self.ID, alive, n.roster.Members()))
		}
		backends := n.roster.Backends("ledger")
		if len(backends) != len(o.ready) {
			o.faults = append(o.faults, fmt.Sprintf("%s sees %d backend servers, expected %d", n.self.ID, len(backends), len(o.ready)))
		}
		for _, b := range backends {
			if slot, found := o.ready[string(b.ID)]; !found || b.Owner != o.nodes[slot].self.ID {
				o.faults = append(o.faults, fmt.Sprintf("%s sees %v", n.self.ID, b))
			}
		}
		if fmt.Sprint(n.roster.Buckets()) != fmt.Sprint(o.nodes[0].roster.Buckets()) {
			o.faults = append(o.faults, fmt.Sprintf("tables of %s and %s differ", n.self.ID, o.nodes[0].self.ID))
		}
	}
}

func TestSchedulesOfCutsPausesAndReplacements(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := steps().Draw(rt, "schedule")
		var faults []string
		synctest.Test(t, func(*testing.T) {
			o := &oracle{w: newNetwork(), ready: make(map[string]int), versions: make(map[string]uint64)}
			defer o.w.stopAll()
			o.nodes = o.w.fleetOf(scheduleNodes)
			o.wait(10 * time.Second)
			o.w.setWatch(o.deaths)
			for _, s := range schedule {
				o.apply(s)
			}
			o.settle()
			o.mu.Lock()
			defer o.mu.Unlock()
			faults = o.faults
		})
		if len(faults) > 0 {
			rt.Fatalf("%d faults, first: %s", len(faults), faults[0])
		}
	})
}
