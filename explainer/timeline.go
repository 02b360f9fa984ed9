package explainer

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// sameEventWindow is the longest time between records of one event by different
// nodes that are merged into one line.
const sameEventWindow = 30 * time.Second

// Timeline holds the events about one subject from all nodes that answered, in order.
type Timeline struct {
	Subject string `json:"subject"`
	Lines   []Line `json:"lines"`
	// Nodes is the number of nodes that answered.
	Nodes int `json:"nodes"`
	// Missing lists the nodes that did not answer, with the reason.
	Missing []MissingNode `json:"missing"`
}

// MissingNode is a node that did not answer.
type MissingNode struct {
	Node    string `json:"node"`
	Failure string `json:"failure"`
}

// New merges the responses of nodes. Events of one node keep their order; events of
// different nodes are ordered by the nodes' clocks, which may differ.
func New(subject string, sources []Source) Timeline {
	timeline := Timeline{Subject: subject, Lines: []Line{}, Missing: []MissingNode{}}
	var queues [][]fleet.Event
	for _, source := range sources {
		if source.Failure != "" {
			timeline.Missing = append(timeline.Missing, MissingNode{Node: source.Node, Failure: source.Failure})
			continue
		}
		timeline.Nodes++
		queues = append(queues, source.Events)
	}
	for event, found := popEarliest(queues); found; event, found = popEarliest(queues) {
		timeline.add(event)
	}
	return timeline
}

// add merges an event into the line of the same event, or appends a new line.
func (t *Timeline) add(event fleet.Event) {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		if t.Lines[i].sameEvent(event) {
			t.Lines[i].Nodes = append(t.Lines[i].Nodes, string(event.Node))
			t.Lines[i].Spread = max(t.Lines[i].Spread, event.Time.Sub(t.Lines[i].Time))
			return
		}
	}
	t.Lines = append(t.Lines, newLine(event))
}

// popEarliest removes and returns the earliest of the queues' first events.
func popEarliest(queues [][]fleet.Event) (fleet.Event, bool) {
	earliest := -1
	for i, queue := range queues {
		if len(queue) == 0 {
			continue
		}
		if earliest < 0 || queue[0].Time.Before(queues[earliest][0].Time) {
			earliest = i
		}
	}
	if earliest < 0 {
		return fleet.Event{}, false
	}
	event := queues[earliest][0]
	queues[earliest] = queues[earliest][1:]
	return event, true
}
