package roster_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/roster"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// oracle keeps the newest version of each entry in plain maps.
type oracle struct {
	members  map[fleet.NodeID]fleet.Member
	backends map[fleet.BackendID]fleet.Backend
}

func (o oracle) candidates(service fleet.ServiceName) []fleet.Backend {
	var found []fleet.Backend
	for _, b := range o.backends {
		owner := o.members[b.Owner].State
		if b.Service == service && b.AcceptsRequests() && (owner == fleet.MemberAlive || owner == fleet.MemberSuspect) {
			found = append(found, b)
		}
	}
	return byID(found)
}

func byID(backends []fleet.Backend) []fleet.Backend {
	sorted := slices.Clone(backends)
	slices.SortFunc(sorted, func(a, b fleet.Backend) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return sorted
}

func drawMember(t *rapid.T) fleet.Member {
	id := rapid.IntRange(0, 3).Draw(t, "node")
	return fleet.Member{
		ID:          fleet.NodeID(fmt.Sprint("n", id)),
		Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
		PeerAddress: "10.0.0.1:1",
		Zone:        "z",
		State:       rapid.SampledFrom([]fleet.MemberState{1, 2, 3, 4}).Draw(t, "state"),
	}
}

func drawBackend(t *rapid.T) fleet.Backend {
	b := fleet.Backend{
		ID:       fleet.BackendID(fmt.Sprint("b", rapid.IntRange(0, 9).Draw(t, "backend"))),
		Service:  fleet.ServiceName(rapid.SampledFrom([]string{"ledger", "intake"}).Draw(t, "service")),
		Owner:    fleet.NodeID(fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "owner"))),
		Zone:     "z",
		Address:  rapid.SampledFrom([]string{"10.1.2.3:80", "[::1]:80", "10.1.2.3:080"}).Draw(t, "address"),
		Slots:    rapid.IntRange(1, 9).Draw(t, "slots"),
		State:    rapid.SampledFrom([]fleet.BackendState{1, 2, 3, 4}).Draw(t, "state"),
		Sequence: rapid.Uint64Range(1, 5).Draw(t, "sequence"),
	}
	if rapid.IntRange(0, 3).Draw(t, "left") == 0 {
		return b.WithLeft()
	}
	return b
}

// TestRosterAgainstOracle stores versions in any order; the newest always wins, but one that
// left stays so. All nodes are on one VM.
func TestRosterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := roster.New()
		o := oracle{members: make(map[fleet.NodeID]fleet.Member), backends: make(map[fleet.BackendID]fleet.Backend)}
		t.Repeat(map[string]func(*rapid.T){
			"member": func(t *rapid.T) {
				m := drawMember(t)
				old := o.members[m.ID]
				newer := m.Incarnation > old.Incarnation || m.Incarnation == old.Incarnation && m.State > old.State
				if newer {
					o.members[m.ID] = m
				}
				if table.PutMember(m) != newer {
					t.Fatalf("PutMember(%v) over %v, expected %v", m, old, newer)
				}
			},
			"backend": func(t *rapid.T) {
				b := drawBackend(t)
				old := o.backends[b.ID]
				newer := b.Sequence > old.Sequence || b.Sequence == old.Sequence && b.Owner > old.Owner ||
					b.Sequence == old.Sequence && b.Owner == old.Owner && b.Left && !old.Left
				if newer && old.Left && b.State != fleet.BackendGone {
					o.backends[b.ID] = b.WithLeft()
				} else if newer {
					o.backends[b.ID] = b
				}
				if table.PutBackend(b) != newer {
					t.Fatalf("PutBackend(%v) over %v, expected %v", b, old, newer)
				}
			},
			"": func(t *rapid.T) {
				for _, service := range []fleet.ServiceName{"ledger", "intake"} {
					got, want := byID(table.Backends(service)), o.candidates(service)
					if !slices.Equal(got, want) {
						t.Fatalf("Backends(%q) = %v, expected %v", service, got, want)
					}
				}
				for id, want := range o.backends {
					if got, _ := table.Backend(id); got != want {
						t.Fatalf("Backend(%q) = %v, expected %v", id, got, want)
					}
				}
			},
		})
		rebuilt := roster.New()
		for _, m := range o.members {
			rebuilt.PutMember(m)
		}
		for _, b := range o.backends {
			rebuilt.PutBackend(b)
		}
		if !slices.Equal(rebuilt.Buckets(), table.Buckets()) {
			t.Fatalf("buckets depend on the order of changes")
		}
	})
}

// TestBackendsOfANodeThatLeftAreGone guards against showing a backend server as ready after
// its node has left and the backend server's last change was lost.
func TestBackendsOfANodeThatLeftAreGone(t *testing.T) {
	is := is.New(t)
	table := roster.New()
	table.PutMember(fleet.Member{ID: "n1", Incarnation: 1, PeerAddress: "10.0.0.1:1", State: fleet.MemberAlive})
	table.PutBackend(fleet.Backend{ID: "b1", Service: "s", Owner: "n1", State: fleet.BackendReady, Sequence: 1})
	is.Equal(table.AllBackends("s")[0].State, fleet.BackendReady)
	table.PutMember(fleet.Member{ID: "n1", Incarnation: 1, State: fleet.MemberLeft})
	is.Equal(table.AllBackends("s")[0].State, fleet.BackendGone)
	is.Equal(len(table.Backends("s")), 0)
}

func TestExpireDropsTombstonesAndTheirBackends(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := roster.New(roster.WithClock(clock), roster.WithRetention(time.Hour))
	table.PutMember(fleet.Member{ID: "n1", Incarnation: 1, PeerAddress: "10.0.0.1:1", State: fleet.MemberAlive})
	table.PutBackend(fleet.Backend{ID: "b1", Service: "s", Owner: "n1", State: fleet.BackendReady, Sequence: 1})
	table.Expire()
	is.Equal(len(table.Backends("s")), 1)
	table.PutMember(fleet.Member{ID: "n1", Incarnation: 1, State: fleet.MemberDead})
	is.Equal(len(table.Backends("s")), 0)
	table.Expire()
	clock.Advance(31 * time.Minute)
	table.Expire()
	is.Equal(table.Buckets(), make([]uint64, roster.BucketCount)) // no longer compared
	is.Equal(table.PutMember(fleet.Member{ID: "n1", Incarnation: 1, State: fleet.MemberAlive}), false)
	clock.Advance(30 * time.Minute)
	table.Expire()
	members, backends := table.Size()
	is.Equal(members+backends, 0)
}

// TestDepartureIsRememberedForTheVMAndItsTime has a backend server leave, and be announced again
// by a later start of its node, by another VM, and after the retention.
func TestDepartureIsRememberedForTheVMAndItsTime(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	newTable := func() *roster.Roster {
		table := roster.New(roster.WithClock(clock), roster.WithLeftRetention(20*time.Second))
		for id, address := range map[fleet.NodeID]string{"n1": "10.0.0.1:1", "n1again": "10.0.0.1:1", "n2": "10.0.0.2:1"} {
			table.PutMember(fleet.Member{ID: id, Incarnation: 1, PeerAddress: address, State: fleet.MemberAlive})
		}
		table.PutBackend(fleet.Backend{ID: "b1", Service: "s", Owner: "n1", State: fleet.BackendReady, Sequence: 1})
		_, changed := table.MarkLeft("b1")
		is.True(changed)
		_, changed = table.MarkLeft("b1")
		is.True(!changed)
		is.Equal(len(table.Backends("s")), 0)
		return table
	}
	again := fleet.Backend{ID: "b1", Service: "s", Owner: "n1again", State: fleet.BackendReady, Sequence: 9}
	elsewhere := fleet.Backend{ID: "b1", Service: "s", Owner: "n2", State: fleet.BackendReady, Sequence: 9}
	table := newTable()
	is.True(table.HasLeft("b1", "n1again"))
	is.True(!table.HasLeft("b1", "n2"))
	is.True(table.PutBackend(again))
	is.Equal(len(table.Backends("s")), 0)
	is.True(newTable().PutBackend(elsewhere))
	table = newTable()
	is.True(table.PutBackend(elsewhere))
	is.Equal(len(table.Backends("s")), 1)
	table = newTable()
	clock.Advance(21 * time.Second)
	is.True(table.PutBackend(again))
	is.Equal(len(table.Backends("s")), 1)
}

// TestNodeIsVacatedOnceItsLastBackendServerLeft guards against a node that counts as about to go though a backend server runs there.
func TestNodeIsVacatedOnceItsLastBackendServerLeft(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	b := fleet.Backend{ID: "b1", Service: "ledger", Owner: "n1", State: fleet.BackendReady, Sequence: 1}
	is.True(!r.IsVacated("n1"))
	r.PutBackend(b)
	is.True(!r.IsVacated("n1"))
	crashed := b.WithState(fleet.BackendGone)
	r.PutBackend(crashed)
	is.True(!r.IsVacated("n1"))
	left := b
	left.ID = "b2"
	r.PutBackend(left.WithLeft())
	is.True(r.IsVacated("n1"))
	another := b
	another.ID = "b3"
	r.PutBackend(another)
	is.True(!r.IsVacated("n1"))
}
