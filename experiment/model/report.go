package model

import (
	"fmt"
	"strings"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Report is one event of a node with the true state of its subject.
type Report struct {
	At    time.Duration
	Node  fleet.NodeID
	Event fleet.Event
	// Faulty is true while the backend server has a fault.
	Faulty bool
}

// String returns the report as key=value pairs.
func (r Report) String() string {
	var line strings.Builder
	fmt.Fprintf(&line, "at=%.1f node=%s event=%s subject=%s reason=%s faulty=%t",
		r.At.Seconds(), r.Node, r.Event.Kind, r.Event.Subject, r.Event.Reason, r.Faulty)
	for _, figure := range r.Event.Figures {
		fmt.Fprintf(&line, " %s=%.1f", figure.Name, figure.Value)
	}
	return line.String()
}

// OnEvent sets the function that is called with each event of a node.
func (m *Model) OnEvent(reporter func(Report)) { m.reporter = reporter }

func (m *Model) report(n *ingress, event fleet.Event) {
	if m.reporter == nil {
		return
	}
	b := m.byID[fleet.BackendID(event.Subject)]
	m.reporter(Report{At: m.clock.now, Node: n.member.ID, Event: event, Faulty: b != nil && b.fault.on})
}
