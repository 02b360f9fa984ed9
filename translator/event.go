package translator

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// FiguresToMessage converts figures.
func FiguresToMessage(figures []fleet.Figure) []*cowsliptallyv1.Figure {
	messages := make([]*cowsliptallyv1.Figure, 0, len(figures))
	for _, figure := range figures {
		message := &cowsliptallyv1.Figure{Name: figure.Name, Value: figure.Value, Unit: figure.Unit}
		messages = append(messages, message)
	}
	return messages
}

// FiguresFromMessage converts figure messages.
func FiguresFromMessage(messages []*cowsliptallyv1.Figure) []fleet.Figure {
	figures := make([]fleet.Figure, 0, len(messages))
	for _, m := range messages {
		figure := fleet.Figure{Name: m.GetName(), Value: m.GetValue(), Unit: m.GetUnit()}
		figures = append(figures, figure)
	}
	return figures
}

// EventToMessage converts an event.
func EventToMessage(e fleet.Event) *cowsliptallyv1.Event {
	return &cowsliptallyv1.Event{
		TimeUnixNano: e.Time.UnixNano(),
		Node:         string(e.Node),
		Kind:         string(e.Kind),
		Service:      string(e.Service),
		Subject:      e.Subject,
		Reason:       e.Reason,
		Figures:      FiguresToMessage(e.Figures),
		Sequence:     e.Sequence,
		Detail:       e.Detail,
	}
}

// EventFromMessage converts an event message.
func EventFromMessage(m *cowsliptallyv1.Event) fleet.Event {
	return fleet.Event{
		Time:     time.Unix(0, m.GetTimeUnixNano()).UTC(),
		Node:     fleet.NodeID(m.GetNode()),
		Kind:     fleet.EventKind(m.GetKind()),
		Service:  fleet.ServiceName(m.GetService()),
		Subject:  m.GetSubject(),
		Reason:   m.GetReason(),
		Figures:  FiguresFromMessage(m.GetFigures()),
		Sequence: m.GetSequence(),
		Detail:   m.GetDetail(),
	}
}
