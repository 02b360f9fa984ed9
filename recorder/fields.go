package recorder

import (
	"strconv"

	"cowsliptally.example/cowsliptally/fleet"
)

// maxWordLength is the length of the longest reason that becomes part of a counter's name, in bytes.
const maxWordLength = 24

// counterName returns the event's kind, with its reason when that is a single word.
func counterName(event fleet.Event) string {
	if !isWord(event.Reason) {
		return string(event.Kind)
	}
	return string(event.Kind) + "." + event.Reason
}

// isWord reports whether a text is a short word of lower-case letters, digits
// and hyphens, so that the number of counters stays bounded.
func isWord(text string) bool {
	if text == "" || len(text) > maxWordLength {
		return false
	}
	for _, r := range text {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

// fields returns the keys and values of an event's log line.
func fields(event fleet.Event) []any {
	pairs := []any{"node", event.Node, "sequence", event.Sequence}
	if event.Service != "" {
		pairs = append(pairs, "service", event.Service)
	}
	pairs = append(pairs, "subject", event.Subject)
	if event.Reason != "" {
		pairs = append(pairs, "reason", event.Reason)
	}
	for _, figure := range event.Figures {
		pairs = append(pairs, figure.Name, formatFigure(figure))
	}
	if event.Detail != "" {
		pairs = append(pairs, "detail", event.Detail)
	}
	return pairs
}

// formatFigure returns a figure's value followed by its unit.
func formatFigure(figure fleet.Figure) string {
	return strconv.FormatFloat(figure.Value, 'g', 6, 64) + figure.Unit
}
