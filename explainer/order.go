package explainer

import (
	"math"
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
)

// InCausalOrder returns a copy with the lines of a request in causal order, even if the
// clocks of the nodes differ. For each attempt, the line of its owner comes before the
// retry of the ingress; the answer or refusal comes last. Other lines stay after the
// preceding line of their node.
func (t Timeline) InCausalOrder() Timeline {
	lastPositions := make(map[string]int)
	type positioned struct {
		line     Line
		position int
	}
	all := make([]positioned, 0, len(t.Lines))
	for _, line := range t.Lines {
		position, found := line.position()
		if !found && len(line.Nodes) > 0 {
			position = lastPositions[line.Nodes[0]]
		}
		if len(line.Nodes) > 0 {
			lastPositions[line.Nodes[0]] = position
		}
		all = append(all, positioned{line, position})
	}
	slices.SortStableFunc(all, func(a, b positioned) int { return a.position - b.position })
	t.Lines = make([]Line, 0, len(all))
	for _, p := range all {
		t.Lines = append(t.Lines, p.line)
	}
	return t
}

// position returns the position of a line among those of its request, and
// whether it has one.
func (l Line) position() (int, bool) {
	switch l.Kind {
	case fleet.EventRequest, fleet.EventRefusal:
		return math.MaxInt32, true
	case fleet.EventAttempt, fleet.EventAbandoned, fleet.EventRetry, fleet.EventSearch, fleet.EventHedge:
	default:
		return 0, false
	}
	for _, figure := range l.Figures {
		if figure.Name != "attempt" {
			continue
		}
		position := 2 * int(figure.Value)
		if l.Kind == fleet.EventRetry {
			position++
		}
		return position, true
	}
	return 0, false
}
