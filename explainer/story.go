package explainer

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// sameFactTime is the time within which nodes' records of one fact are joined.
const sameFactTime = 30 * time.Second

// Story is what the nodes that answered know of one subject, in order.
type Story struct {
	Subject string `json:"subject"`
	Lines   []Line `json:"lines"`
	// Nodes is how many nodes answered.
	Nodes int `json:"nodes"`
	// Missing names the nodes that did not, with the reason.
	Missing []Missing `json:"missing"`
}

// Missing is a node that did not answer.
type Missing struct {
	Node    string `json:"node"`
	Failure string `json:"failure"`
}

// New merges the answers of nodes. Each node's events keep their order; between
// nodes the order is by their clocks, which may differ.
func New(subject string, sources []Source) Story {
	story := Story{Subject: subject, Lines: []Line{}, Missing: []Missing{}}
	var queues [][]fleet.Event
	for _, source := range sources {
		if source.Failure != "" {
			story.Missing = append(story.Missing, Missing{Node: source.Node, Failure: source.Failure})
			continue
		}
		story.Nodes++
		queues = append(queues, source.Events)
	}
	for event, found := next(queues); found; event, found = next(queues) {
		story.add(event)
	}
	return story
}

// add enters an event in its line, or as a new line.
func (s *Story) add(event fleet.Event) {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		if s.Lines[i].holds(event) {
			s.Lines[i].Nodes = append(s.Lines[i].Nodes, string(event.Node))
			s.Lines[i].Spread = max(s.Lines[i].Spread, event.Time.Sub(s.Lines[i].Time))
			return
		}
	}
	s.Lines = append(s.Lines, newLine(event))
}

// next takes the earliest of the queues' first events.
func next(queues [][]fleet.Event) (fleet.Event, bool) {
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
