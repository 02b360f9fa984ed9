package ejector_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/detector"
	"cowsliptally.example/cowsliptally/ejector"
	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

const target fleet.BackendID = "b1"

// world is the environment of one node; its log applies ejections at once.
type world struct {
	evidence []evaluator.Evidence
	ejection *cowsliptallyv1.Ejection
	records  []*cowsliptallyv1.Record
	down     bool
	// score is the evidence that other nodes report, in nats.
	score float64
	clock *clockwork.FakeClock
}

func (w *world) Tick(time.Time) []fleet.Event { return nil }

func (w *world) Evidence() []evaluator.Evidence { return w.evidence }

func (w *world) OwnEvidence(fleet.BackendID) (evaluator.Evidence, bool) {
	if len(w.evidence) == 0 {
		return evaluator.Evidence{}, false
	}
	return w.evidence[0], true
}

func (w *world) Append(_ context.Context, record *cowsliptallyv1.Record) error {
	if w.down {
		return errors.New("the log service is down")
	}
	w.records = append(w.records, record)
	if record.GetReturn() != nil {
		w.ejection = nil
	}
	if record.GetEjection() != nil {
		w.ejection = record.GetEjection()
	}
	return nil
}

func (w *world) Ejected(fleet.BackendID) (*cowsliptallyv1.Ejection, bool) {
	return w.ejection, w.ejection != nil
}

func (w *world) Backend(fleet.BackendID) (fleet.Backend, bool) {
	return fleet.Backend{ID: target, Service: "s", Owner: "owner", Slots: 4}, true
}

func (w *world) Members() []fleet.Member {
	return []fleet.Member{
		{ID: "owner", Zone: "a", State: fleet.MemberAlive}, {ID: "n1", Zone: "a", State: fleet.MemberAlive},
		{ID: "n2", Zone: "a", State: fleet.MemberAlive}, {ID: "n3", Zone: "b", State: fleet.MemberAlive},
	}
}

func (w *world) Local() []fleet.Backend {
	backend, _ := w.Backend(target)
	return []fleet.Backend{backend}
}

func newWorld(node fleet.NodeID) (*world, *ejector.Ejector) {
	w := &world{clock: clockwork.NewFakeClock(), score: 25}
	return w, ejector.New(node, w, ejector.WithClock(w.clock), ejector.WithAppender(w),
		ejector.WithState(w), ejector.WithMembers(w), ejector.WithLocal(w))
}

func (w *world) addEvidence() {
	w.evidence = []evaluator.Evidence{{
		Backend: target, Service: "s", LLR: 25, Holds: 2, Cause: detector.CauseSlow,
		Threshold: detector.NewThreshold(fleet.NewRule(fleet.LeanSteady), 10, 1),
	}}
}

// run steps the ejector once a second while other nodes report evidence.
func (w *world) run(e *ejector.Ejector, seconds int, reporting ...string) {
	for range seconds {
		w.clock.Advance(time.Second)
		for _, node := range reporting {
			message := &cowsliptallyv1.Evidence{Node: node, Backend: string(target), Score: w.score, Reason: "slow"}
			request := &cowsliptallyv1.TestifyRequest{Evidence: []*cowsliptallyv1.Evidence{message}}
			_, _ = e.Testify(context.Background(), connect.NewRequest(request))
		}
		e.ReportAndDecide(context.Background())
	}
}

// TestBackupNodeReplacesSilentOwner guards against duplicate or missing proposals
// when the owner proposes nothing: nodes in two availability zones have sufficient
// evidence, and exactly one proposes.
func TestBackupNodeReplacesSilentOwner(t *testing.T) {
	is := is.New(t)
	proposed := 0
	for _, node := range []fleet.NodeID{"n1", "n2", "n3"} {
		w, e := newWorld(node)
		w.addEvidence()
		w.run(e, 10, "n1", "n2", "n3")
		proposed += len(w.records)
	}
	is.Equal(proposed, 1)
}

// TestOwnerNeedsConfirmation guards against ejection on the owner's evidence alone:
// a node that degraded the backend server on the owner's advice has little evidence
// itself, and must still confirm the owner's.
func TestOwnerNeedsConfirmation(t *testing.T) {
	for _, c := range []struct {
		about           string
		own, confirming float64
		ejected         bool
	}{
		{"enough confirmation", 25, evaluator.CorroborationNats, true},
		{"too little confirmation", 25, evaluator.CorroborationNats - 0.1, false},
		{"too little evidence of the owner", 12, evaluator.CorroborationNats, false},
	} {
		t.Run(c.about, func(t *testing.T) {
			is := is.New(t)
			w, e := newWorld("owner")
			w.addEvidence()
			w.evidence[0].LLR = c.own
			w.score = c.confirming
			w.run(e, 10, "n1")
			is.Equal(w.ejection != nil, c.ejected)
		})
	}
}

// TestOneStallDoesNotEject guards against ejection for a single stall: strong
// evidence of one hold is not enough.
func TestOneStallDoesNotEject(t *testing.T) {
	is := is.New(t)
	w, e := newWorld("owner")
	w.addEvidence()
	w.evidence[0].Holds = 1
	w.run(e, 10, "n1", "n3")
	is.Equal(len(w.records), 0)
}

func TestEjectionNeedsSufficientEvidence(t *testing.T) {
	for _, c := range []struct {
		about     string
		node      fleet.NodeID
		reporting []string
		ejected   bool
	}{
		{"the owner alone", "owner", nil, false},
		{"the owner and another", "owner", []string{"n1"}, true},
		{"one other alone", "n1", nil, false},
		{"one availability zone without the owner", "n1", []string{"n2"}, false},
	} {
		t.Run(c.about, func(t *testing.T) {
			is := is.New(t)
			w, e := newWorld(c.node)
			w.addEvidence()
			w.run(e, 10, c.reporting...)
			is.Equal(w.ejection != nil, c.ejected)
		})
	}
}

func TestRepeatedEjectionsLastLonger(t *testing.T) {
	is := is.New(t)
	w, e := newWorld("owner")
	var lengths []int
	for range 4 {
		w.addEvidence()
		w.run(e, 10, "n1")
		is.True(w.ejection != nil)
		w.evidence = nil
		seconds := 0
		for ; w.ejection != nil && seconds < 1000; seconds++ {
			w.run(e, 1)
		}
		lengths = append(lengths, seconds)
		w.run(e, 10)
	}
	for i := 1; i < len(lengths); i++ {
		is.True(lengths[i] > lengths[i-1]*3/2)
	}
	w.run(e, 3600)
	w.addEvidence()
	w.run(e, 10, "n1")
	w.evidence = nil
	w.run(e, 40)
	is.Equal(w.ejection, (*cowsliptallyv1.Ejection)(nil))
}

func TestLogOutageQueuesNothing(t *testing.T) {
	is := is.New(t)
	w, e := newWorld("owner")
	w.down = true
	w.addEvidence()
	w.run(e, 600, "n1")
	w.down = false
	w.run(e, 10, "n1")
	is.Equal(len(w.records), 1)
}
