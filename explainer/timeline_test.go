package explainer

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"cowsliptally.example/cowsliptally/fleet"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func at(node string, sequence uint64, after time.Duration, event fleet.Event) fleet.Event {
	event.Node, event.Sequence, event.Time = fleet.NodeID(node), sequence, noon.Add(after)
	return event.WithService("ledger")
}

// backendSources returns the events of a slow backend server as two nodes recorded
// them; a third node does not answer.
func backendSources() []Source {
	const id = "ledger-2"
	degraded := fleet.NewEvent(fleet.EventDegradation, id, "slow", fleet.Figure{Name: "score", Value: 8.21, Unit: "nats"})
	ejected := fleet.NewEvent(fleet.EventEjection, id, "slow", fleet.Figure{Name: "witnesses", Value: 2})
	returned := fleet.NewEvent(fleet.EventReturn, id, "served well in its trial")
	again := fleet.NewEvent(fleet.EventEjection, id, "slow", fleet.Figure{Name: "witnesses", Value: 3})
	return []Source{
		{Node: "a", Events: []fleet.Event{
			at("a", 3, 1200*time.Millisecond, degraded), at("a", 9, 3*time.Second, ejected),
			at("a", 12, 50*time.Second, returned), at("a", 15, 61*time.Second, again),
		}},
		{Node: "b", Events: []fleet.Event{
			at("b", 1, 1900*time.Millisecond, degraded), at("b", 2, 3045*time.Millisecond, ejected),
			at("b", 3, 50001*time.Millisecond, returned), at("b", 4, 61020*time.Millisecond, again),
		}},
		{Node: "c", Failure: "connection refused"},
	}
}

func requestSources() []Source {
	const id = "0190-r1"
	return []Source{
		{Node: "a", Events: []fleet.Event{
			at("a", 7, 0, fleet.NewEvent(fleet.EventRetry, id, "busy", fleet.Figure{Name: "attempt", Value: 1})),
			at("a", 8, 4*time.Millisecond, fleet.NewEvent(fleet.EventRefusal, id, "sealed")),
		}},
		{Node: "b", Events: []fleet.Event{
			at("b", 2, 3*time.Millisecond, fleet.NewEvent(fleet.EventSealed, id, "sealed")),
		}},
	}
}

func TestBackendText(t *testing.T) {
	goldie.New(t).Assert(t, "backend", []byte(New("ledger-2", backendSources()).Text()))
}

func TestRequestText(t *testing.T) {
	goldie.New(t).Assert(t, "request", []byte(New("0190-r1", requestSources()).Text()))
}

func TestServiceText(t *testing.T) {
	sources := append(backendSources(), Source{Node: "d", Events: []fleet.Event{
		at("d", 1, 2*time.Second, fleet.NewEvent(fleet.EventEjectionRefused, "ledger-3", "the floor would break",
			fleet.Figure{Name: "healthy", Value: 24, Unit: "slots"}, fleet.Figure{Name: "floor", Value: 24, Unit: "slots"})),
		at("d", 2, 4*time.Second, fleet.NewEvent(fleet.EventReadmission, "ledger-2", "healthy capacity fell below the minimum")),
	}})
	goldie.New(t).Assert(t, "service", []byte(New("ledger", sources).Text()))
}

func TestTextWithoutEvents(t *testing.T) {
	goldie.New(t).Assert(t, "nothing", []byte(New("nobody", []Source{{Node: "a"}}).Text()))
}

func TestTimelineAsJSON(t *testing.T) {
	data, err := json.MarshalIndent(New("0190-r1", requestSources()), "", "  ")
	is.New(t).NoErr(err)
	goldie.New(t).Assert(t, "request.json", data)
}

// The order of each node's own events must be kept when its clock is set back.
func TestNodeOrderIsKeptUnderClockSteps(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var sources []Source
		for _, node := range []string{"a", "b", "c"} {
			source := Source{Node: node}
			for sequence := range uint64(10) {
				after := time.Duration(random.IntN(1000)) * time.Millisecond
				event := fleet.NewEvent(fleet.EventRetry, "r", "busy")
				source.Events = append(source.Events, at(node, sequence+1, after, event))
			}
			sources = append(sources, source)
		}
		timeline := New("r", sources)
		is.Equal(len(timeline.Lines), 30)
		seen := map[string]int{}
		for _, line := range timeline.Lines {
			node := line.Nodes[0]
			is.Equal(line.Time, sourceOf(sources, node).Events[seen[node]].Time)
			seen[node]++
		}
	}
}

func sourceOf(sources []Source, node string) Source {
	for _, source := range sources {
		if source.Node == node {
			return source
		}
	}
	return Source{}
}
