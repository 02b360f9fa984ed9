package explainer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	timeLayout = "2006-01-02 15:04:05.000"
	// nodeWidth is the width of the column of nodes, in characters.
	nodeWidth = 16
)

// Text returns the story for people to read.
func (s Story) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s from %s\n", s.Subject, count(len(s.Lines), "event"), count(s.Nodes, "node"))
	for _, missing := range s.Missing {
		fmt.Fprintf(&text, "no answer from %s: %s\n", missing.Node, missing.Failure)
	}
	for _, line := range s.Lines {
		fmt.Fprintf(&text, "%s  %-*s  %s\n", line.Time.Format(timeLayout), nodeWidth, line.who(), line.sentence(s.Subject))
	}
	if hint := s.hint(); hint != "" {
		fmt.Fprintf(&text, "now: %s\n", hint)
	}
	return text.String()
}

// who names the nodes of a line.
func (l Line) who() string {
	if len(l.Nodes) == 1 {
		return l.Nodes[0]
	}
	return count(len(l.Nodes), "node")
}

// sentence says what happened, with the evidence.
func (l Line) sentence(subject string) string {
	object := l.Subject
	if object == subject || object == "" {
		object = "it"
	}
	text := strings.Replace(deed(l.Kind), "%", object, 1)
	if l.Reason != "" {
		text += ": " + l.Reason
	}
	if len(l.Figures) > 0 {
		text += " (" + figures(l.Figures) + ")"
	}
	if l.Detail != "" {
		text += "; " + l.Detail
	}
	if len(l.Nodes) > 1 {
		text += fmt.Sprintf("; first at %s, at the last %s later", l.Nodes[0], l.Spread.Round(time.Millisecond))
	}
	return text
}

// deeds says in plain words what an event of a kind is; % stands for its subject.
var deeds = map[fleet.EventKind]string{
	fleet.EventRefusal:         "refused %",
	fleet.EventRetry:           "tried again after a failed attempt at %",
	fleet.EventDegradation:     "degraded %, by this node alone",
	fleet.EventRecovery:        "trusts % again",
	fleet.EventEjection:        "ejected %, by agreement",
	fleet.EventEjectionRefused: "refused to eject %",
	fleet.EventReturn:          "took the ejection of % back",
	fleet.EventReadmission:     "uses % although ejected, to keep the floor",
	fleet.EventPoison:          "refuses % from now on",
	fleet.EventCrash:           "saw % die",
	fleet.EventAccepted:        "put the configuration of % in force",
	fleet.EventConflict:        "refused configuration change %",
	fleet.EventMember:          "changed its view of node %",
	fleet.EventBackend:         "noted the state of %",
	fleet.EventLog:             "noted the log service's state",
	fleet.EventSkipped:         "skipped a record of the log",
	fleet.EventSealed:          "sealed %, which did not run and never will",
	fleet.EventRequest:         "passed the answer to % on, with status",
	fleet.EventAttempt:         "could not answer an attempt of % as usual",
	fleet.EventDoubt:           "judged % anew",
	fleet.EventPath:            "changed its view of the path to %",
	fleet.EventSilent:          "dropped a connection to % that made no progress",
}

// deed returns the words for a kind, or its name.
func deed(kind fleet.EventKind) string {
	if words, found := deeds[kind]; found {
		return words
	}
	return string(kind)
}

// hint says what state the last decision left a backend server in and what ends it.
func (s Story) hint() string {
	for _, line := range slices.Backward(s.Lines) {
		if line.Subject != s.Subject {
			continue
		}
		since := line.Time.Format(timeLayout)
		switch line.Kind {
		case fleet.EventEjection:
			return "ejected since " + since + "; it returns after its time apart and good answers in a trial, or by `cowsliptally override put " + s.Subject + " in`"
		case fleet.EventReadmission:
			return "ejected, in use since " + since + " because the floor needs it"
		case fleet.EventDegradation:
			return "degraded at " + line.who() + " since " + since + "; it still counts as capacity and returns when its evidence fades"
		case fleet.EventRecovery, fleet.EventReturn:
			return "trusted since " + since
		}
	}
	return ""
}

// figures lists figures with their units.
func figures(list []Figure) string {
	words := make([]string, 0, len(list))
	for _, figure := range list {
		word := figure.Name + " " + strconv.FormatFloat(figure.Value, 'g', 4, 64)
		if figure.Unit != "" {
			word += " " + figure.Unit
		}
		words = append(words, word)
	}
	return strings.Join(words, ", ")
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
