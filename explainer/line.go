package explainer

import (
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Line is one event of a timeline, with every node that recorded it.
type Line struct {
	Time    time.Time       `json:"time"`
	Kind    fleet.EventKind `json:"kind"`
	Service string          `json:"service,omitempty"`
	Subject string          `json:"subject,omitempty"`
	Reason  string          `json:"reason,omitempty"`
	Figures []Figure        `json:"figures,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	Nodes   []string        `json:"nodes"`
	// Spread is the time from the first node's record to the last one's.
	Spread time.Duration `json:"spread_ns"`
}

// newLine returns the line of an event that one node recorded.
func newLine(event fleet.Event) Line {
	return Line{
		Time: event.Time, Kind: event.Kind, Service: string(event.Service), Subject: event.Subject,
		Reason: event.Reason, Figures: newFigures(event.Figures), Detail: event.Detail, Nodes: []string{string(event.Node)},
	}
}

// Figure is one number of the evidence.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit,omitempty"`
}

func newFigures(list []fleet.Figure) []Figure {
	figures := make([]Figure, 0, len(list))
	for _, figure := range list {
		figures = append(figures, Figure(figure))
	}
	return figures
}

// sameEvent reports whether an event is another node's record of the line's event.
func (l Line) sameEvent(event fleet.Event) bool {
	return isFleetWide(event.Kind) && l.Kind == event.Kind && l.Subject == event.Subject &&
		l.Reason == event.Reason && event.Time.Sub(l.Time) <= sameEventWindow && !l.recordedBy(string(event.Node))
}

func (l Line) recordedBy(node string) bool { return slices.Contains(l.Nodes, node) }

// isFleetWide reports whether every node records events of this kind, because
// they follow from the log that all nodes read.
func isFleetWide(kind fleet.EventKind) bool {
	switch kind {
	case fleet.EventEjection, fleet.EventEjectionRefused, fleet.EventReturn, fleet.EventReadmission,
		fleet.EventConfigurationAccepted, fleet.EventConfigurationRefused, fleet.EventBackendState, fleet.EventMemberState, fleet.EventLogService,
		fleet.EventPoison, fleet.EventSkipped:
		return true
	default:
		return false
	}
}
