package explainer

import (
	"math"
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
)

// ByCause returns a copy in which the lines of a request follow from each other, however
// the clocks of nodes differ: what the owner of an attempt says goes before what the
// ingress made of it, attempt by attempt, and the ending goes last. Other lines stay
// behind the line of their own node that they follow.
func (s Story) ByCause() Story {
	places := make(map[string]int)
	type placed struct {
		line  Line
		place int
	}
	all := make([]placed, 0, len(s.Lines))
	for _, line := range s.Lines {
		place, found := line.place()
		if !found && len(line.Nodes) > 0 {
			place = places[line.Nodes[0]]
		}
		if len(line.Nodes) > 0 {
			places[line.Nodes[0]] = place
		}
		all = append(all, placed{line, place})
	}
	slices.SortStableFunc(all, func(a, b placed) int { return a.place - b.place })
	s.Lines = make([]Line, 0, len(all))
	for _, p := range all {
		s.Lines = append(s.Lines, p.line)
	}
	return s
}

// place returns where a line stands among those of its request.
func (l Line) place() (int, bool) {
	switch l.Kind {
	case fleet.EventRequest, fleet.EventRefusal:
		return math.MaxInt32, true
	case fleet.EventAttempt, fleet.EventRetry:
	default:
		return 0, false
	}
	for _, figure := range l.Figures {
		if figure.Name != "attempt" {
			continue
		}
		place := 2 * int(figure.Value)
		if l.Kind == fleet.EventRetry {
			place++
		}
		return place, true
	}
	return 0, false
}
