package detector_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/detector"
	"cowsliptally.example/cowsliptally/fleet"
)

const (
	backends = 20
	seed     = 7
	gap      = 100 * time.Millisecond
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world simulates a service and passes its samples to a detector.
type world struct {
	detector *detector.Detector
	random   *rand.Rand
	now      time.Time
	// slow and failing are the faults by number of the backend server.
	slow    map[int]float64
	failing map[int]float64
	all     float64
}

func newWorld(lean fleet.Lean) *world {
	return &world{
		detector: detector.New(fleet.NewRule(lean)),
		random:   rand.New(rand.NewPCG(seed, seed)),
		now:      begin, slow: map[int]float64{}, failing: map[int]float64{}, all: 1,
	}
}

func name(number int) fleet.BackendID { return fleet.BackendID(fmt.Sprint("b", number)) }

// round gives each backend server one request; it returns the highest ratio of
// evidence to threshold and the number of its backend server.
func (w *world) round() (worst float64, at int) {
	w.now = w.now.Add(gap)
	for number := range backends {
		factor := w.all * math.Exp(0.6*w.random.NormFloat64())
		if slow := w.slow[number]; slow > 0 {
			factor *= slow
		}
		s := fleet.Sample{At: w.now, Service: "s", Backend: name(number), Kind: "k", Class: fleet.ClassOK}
		s.ServiceTime = time.Duration(factor * float64(20*time.Millisecond))
		if w.random.Float64() < w.failing[number] {
			s.Class = fleet.ClassError
		}
		w.detector.Observe(s)
	}
	threshold := w.detector.Threshold()
	for number := range backends {
		score := w.detector.ScoreWithInFlight(name(number), w.now, threshold)
		if over := score.LLR / threshold.Degrade; over > worst {
			worst, at = over, number
		}
	}
	return worst, at
}

// rounds returns the round in which a threshold was crossed and by which backend server,
// or 0.
func (w *world) rounds(count int) (round, at int) {
	for i := range count {
		if worst, who := w.round(); worst >= 1 {
			return i + 1, who
		}
	}
	return 0, 0
}

func TestFindsOneBadBackendServer(t *testing.T) {
	for _, c := range []struct {
		about         string
		slow, failing float64
		most          int
	}{
		{"slow 3x", 3, 0, 100},
		{"slow 5x", 5, 0, 30},
		{"errors 30%", 0, 0.3, 60},
		{"errors 100%", 0, 1, 5},
	} {
		t.Run(c.about, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(fleet.LeanSteady)
			quiet, _ := w.rounds(500)
			is.Equal(quiet, 0)
			w.slow[3], w.failing[3] = c.slow, c.failing
			round, at := w.rounds(c.most)
			is.True(round > 0)
			is.Equal(at, 3)
		})
	}
}

func TestShiftOfWholeServiceIsNoEvidence(t *testing.T) {
	is := is.New(t)
	w := newWorld(fleet.LeanSteady)
	w.rounds(500)
	w.all = 5
	round, _ := w.rounds(600)
	is.Equal(round, 0)
	for number := range backends {
		w.failing[number] = 0.3
	}
	round, _ = w.rounds(600)
	is.Equal(round, 0)
}

func TestRequestsInFlightAreEvidence(t *testing.T) {
	is := is.New(t)
	w := newWorld(fleet.LeanDetect)
	w.rounds(500)
	first := w.detector.Begin(name(2), "k", w.now)
	w.detector.Begin(name(2), "k", w.now)
	w.detector.Begin(name(2), "k", w.now)
	threshold := w.detector.Threshold()
	later := w.now.Add(500 * time.Millisecond)
	is.True(w.detector.ScoreWithInFlight(name(2), later, threshold).LLR > threshold.Degrade)
	three := w.detector.ScoreWithInFlight(name(2), later, threshold).LLR
	is.True(w.detector.Score(name(2), later, threshold).LLR < threshold.Degrade)
	w.detector.End(first)
	is.True(w.detector.ScoreWithInFlight(name(2), later, threshold).LLR < three)
	w.detector.Resume(later)
	is.True(w.detector.ScoreWithInFlight(name(2), later, threshold).LLR < threshold.Degrade)
}

func TestColdStartAndRefusalsAreNoEvidence(t *testing.T) {
	is := is.New(t)
	w := newWorld(fleet.LeanSteady)
	w.rounds(500)
	w.detector.IgnoreTimes(name(4), w.now.Add(time.Minute))
	w.slow[4] = 10
	round, _ := w.rounds(300)
	is.Equal(round, 0)
	for range 1000 {
		w.detector.Observe(fleet.Sample{At: w.now, Service: "s", Backend: name(5), Kind: "k", Class: fleet.ClassRefused})
	}
	is.Equal(w.detector.Score(name(5), w.now, w.detector.Threshold()).LLR, 0.0)
}

func BenchmarkStatePerBackendServer(b *testing.B) {
	b.ReportAllocs()
	d := detector.New(fleet.NewRule(fleet.LeanSteady))
	ids := make([]fleet.BackendID, b.N)
	for i := range ids {
		ids[i] = name(i)
	}
	s := fleet.Sample{At: begin, Service: "s", Kind: "k", Class: fleet.ClassRefused}
	b.ResetTimer()
	for _, id := range ids {
		s.Backend = id
		d.Begin(id, "k", begin)
		d.Observe(s)
	}
}

func BenchmarkObserve(b *testing.B) {
	w := newWorld(fleet.LeanSteady)
	w.rounds(500)
	s := fleet.Sample{At: w.now, Service: "s", Kind: "k", Class: fleet.ClassOK, ServiceTime: 20 * time.Millisecond}
	for i := range b.N {
		s.Backend = name(i % backends)
		w.detector.Observe(s)
	}
}
