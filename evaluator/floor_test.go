package evaluator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/reducer"
	"cowsliptally.example/cowsliptally/translator"
)

const (
	runs         = 16
	stepsPerRun  = 65_000
	nodeCount    = 3
	backendCount = 8
	slots        = 4
	service      = fleet.ServiceName("s")
)

// view is the state of one node: the log up to an offset, and which backend servers
// take work.
type view struct {
	state     reducer.State
	applied   int
	entries   []fleet.Backend
	evaluator *evaluator.Evaluator
}

func (v *view) Configuration() fleet.Configuration { return v.state.Configuration() }

func (v *view) Ejected(id fleet.BackendID) (*cowsliptallyv1.Ejection, bool) {
	return v.state.Ejected(id)
}

func (v *view) Backends(fleet.ServiceName) []fleet.Backend { return v.entries }

// fuzz is one run: a log, nodes that read it at different speeds, and the actual
// backend servers.
type fuzz struct {
	random *rand.Rand
	log    []*cowsliptallyv1.Record
	down   bool
	nodes  []*view
	truth  []fleet.Backend
	floor  int
	// revision counts the configurations in the log.
	revision uint64
	named    int
	ejected  int
}

func newFuzz(seed uint64) *fuzz {
	f := &fuzz{random: rand.New(rand.NewPCG(seed, seed)), truth: make([]fleet.Backend, backendCount)}
	f.setFloor(16)
	for place := range f.truth {
		f.join(place)
	}
	for range nodeCount {
		v := &view{}
		v.evaluator = evaluator.New(evaluator.WithSettings(v), evaluator.WithEjections(v), evaluator.WithDirectory(v))
		f.nodes = append(f.nodes, v)
		f.read(v, len(f.log))
		f.refresh(v)
	}
	return f
}

func (f *fuzz) append(record *cowsliptallyv1.Record) {
	if !f.down {
		f.log = append(f.log, record)
	}
}

func (f *fuzz) setFloor(slots int) {
	if f.down {
		return
	}
	f.floor = slots
	change := &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutService{
		PutService: translator.ServiceToMessage(fleet.Service{Name: service, MinHealthySlots: slots}),
	}}
	proposal := &cowsliptallyv1.Proposal{
		Operation: fmt.Sprint(f.revision), BaseRevision: f.revision, Changes: []*cowsliptallyv1.Change{change},
	}
	f.revision++
	f.append(&cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Proposal{Proposal: proposal}})
}

// join replaces the backend server at an index by a new one.
func (f *fuzz) join(place int) {
	f.named++
	f.truth[place] = fleet.Backend{
		ID: fleet.BackendID(fmt.Sprint("b", f.named)), Service: service, Owner: "n", Slots: 1 + f.random.IntN(2*slots),
		State: fleet.BackendReady, Sequence: 1,
	}
	message := translator.BackendToMessage(f.truth[place])
	f.append(&cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Join{Join: &cowsliptallyv1.Join{Backend: message}}})
}

// read applies further records at a node.
func (f *fuzz) read(v *view, count int) {
	for range count {
		if v.applied == len(f.log) {
			return
		}
		v.state, _ = v.state.Apply(uint64(v.applied), f.log[v.applied])
		v.applied++
	}
}

// refresh updates a node's view of which backend servers take work.
func (f *fuzz) refresh(v *view) { v.entries = append([]fleet.Backend(nil), f.truth...) }

// step performs one random operation on a node or the log and returns the node.
func (f *fuzz) step() *view {
	v := f.nodes[f.random.IntN(len(f.nodes))]
	place := f.random.IntN(backendCount)
	id := string(f.truth[place].ID)
	switch drawn := f.random.IntN(100); {
	case drawn < 35:
		ejection := &cowsliptallyv1.Ejection{Backend: id, Service: string(service), Node: "n"}
		f.append(&cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Ejection{Ejection: ejection}})
	case drawn < 45:
		back := &cowsliptallyv1.Return{Backend: id, Node: "n"}
		f.append(&cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Return{Return: back}})
	case drawn < 70:
		f.read(v, 1+f.random.IntN(8))
	case drawn < 85:
		f.refresh(v)
	case drawn < 90:
		f.truth[place] = f.truth[place].WithState(fleet.BackendGone)
	case drawn < 92:
		leave := &cowsliptallyv1.Leave{Backend: id, Node: "n"}
		f.append(&cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Leave{Leave: leave}})
		f.truth[place] = f.truth[place].WithState(fleet.BackendDraining)
	case drawn < 97:
		f.join(place)
	case drawn < 98:
		f.setFloor(8 + f.random.IntN(17))
	default:
		f.down = !f.down
	}
	return v
}

// check returns an error if the floor is violated in a node's view.
func (f *fuzz) check(v *view) error {
	used, all := 0, 0
	for _, b := range v.entries {
		if !b.AcceptsRequests() {
			continue
		}
		all += b.Slots
		if v.evaluator.Health(b.ID) == fleet.Ejected {
			f.ejected++
			continue
		}
		used += b.Slots
	}
	inForce, _ := v.state.Configuration().Service(service)
	if used < min(inForce.MinHealthySlots, all) {
		return fmt.Errorf("%d of %d slots in use, the floor is %d", used, all, inForce.MinHealthySlots)
	}
	return nil
}

// TestFloorHoldsInEveryView guards against ejections that take a node's capacity
// below the floor, in 16 runs of 65,000 random steps. Each step checks the node it
// changed; the union of all views has at least the capacity of each, so it holds too.
func TestFloorHoldsInEveryView(t *testing.T) {
	for run := range runs {
		t.Run(fmt.Sprint("seed ", run), func(t *testing.T) {
			t.Parallel()
			f := newFuzz(uint64(run))
			for i := range stepsPerRun {
				if err := f.check(f.step()); err != nil {
					t.Fatalf("seed %d, step %d: %v", run, i, err)
				}
			}
			if f.ejected == 0 {
				t.Fatal("nothing was ever ejected")
			}
		})
	}
}

// TestOverrideTakesPrecedence guards against an ejection or own evidence that
// overrules an operator's override.
func TestOverrideTakesPrecedence(t *testing.T) {
	f := newFuzz(1)
	v := f.nodes[0]
	id := f.truth[0].ID
	v.state, _ = v.state.Apply(uint64(v.applied), &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Ejection{
		Ejection: &cowsliptallyv1.Ejection{Backend: string(id), Service: string(service), Node: "n"},
	}})
	if v.evaluator.Health(id) != fleet.Ejected {
		t.Fatal("an accepted ejection has no effect")
	}
	settings := fixed{v.state.Configuration().WithOverride(fleet.Override{Backend: id, Decision: fleet.DecisionIn})}
	e := evaluator.New(evaluator.WithSettings(settings), evaluator.WithEjections(v), evaluator.WithDirectory(v))
	if e.Health(id) != fleet.Healthy || e.Share(id) != 1 {
		t.Fatal("the override does not keep the backend server in")
	}
	settings.configuration = settings.configuration.WithOverride(fleet.Override{Backend: id, Decision: fleet.DecisionOut})
	e = evaluator.New(evaluator.WithSettings(settings), evaluator.WithDirectory(v))
	if e.Health(id) != fleet.Ejected || e.Share(id) != 0 {
		t.Fatal("the override does not keep the backend server out")
	}
}

type fixed struct{ configuration fleet.Configuration }

func (f fixed) Configuration() fleet.Configuration { return f.configuration }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// stopped is a clock that tests set.
type stopped struct{ now time.Time }

func (s *stopped) Now() time.Time { return s.now }

// TestDegradesAndRecovers follows one backend server through a fault: hold,
// probation, healthy.
func TestDegradesAndRecovers(t *testing.T) {
	clock := &stopped{start}
	e := evaluator.New(evaluator.WithClock(clock))
	feed := func(rounds int, class fleet.Class) {
		for range rounds {
			clock.now = clock.now.Add(evaluator.TickEvery)
			for place := range backendCount {
				s := fleet.Sample{At: clock.now, Service: service, Backend: fleet.BackendID(fmt.Sprint(place)), Class: fleet.ClassOK}
				if place == 0 {
					s.Class = class
				}
				e.Observe(s)
			}
			e.Tick(clock.now)
		}
	}
	feed(300, fleet.ClassOK)
	feed(5, fleet.ClassError)
	if e.Health("0") != fleet.Degraded || e.Share("0") > 0.02 || len(e.Evidence()) != 1 {
		t.Fatalf("after errors: %v, share %v", e.Health("0"), e.Share("0"))
	}
	feed(150, fleet.ClassOK)
	if share := e.Share("0"); share <= 0.02 || share >= 1 {
		t.Fatalf("on probation the share is %v", share)
	}
	feed(150, fleet.ClassOK)
	if e.Health("0") != fleet.Healthy || e.Share("0") != 1 {
		t.Fatalf("after recovery: %v, share %v", e.Health("0"), e.Share("0"))
	}
}
