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
	// nodeWidth is the width of the node column, in characters.
	nodeWidth = 16
)

// Text returns the timeline as text for people to read.
func (t Timeline) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s from %s\n", t.Subject, countText(len(t.Lines), "event"), countText(t.Nodes, "node"))
	for _, missing := range t.Missing {
		fmt.Fprintf(&text, "no answer from %s: %s\n", missing.Node, missing.Failure)
	}
	for _, line := range t.Lines {
		fmt.Fprintf(&text, "%s  %-*s  %s\n", line.Time.Format(timeLayout), nodeWidth, line.nodeLabel(), line.description(t.Subject))
	}
	if state := t.currentState(); state != "" {
		fmt.Fprintf(&text, "now: %s\n", state)
	}
	return text.String()
}

// nodeLabel returns the node of a line, or the number of its nodes.
func (l Line) nodeLabel() string {
	if len(l.Nodes) == 1 {
		return l.Nodes[0]
	}
	return countText(len(l.Nodes), "node")
}

// description returns what happened, with the reason, figures and detail.
func (l Line) description(subject string) string {
	object := l.Subject
	if object == subject || object == "" {
		object = "it"
	}
	text := strings.Replace(kindText(l.Kind), "%", object, 1)
	if l.Reason != "" {
		text += ": " + l.Reason
	}
	if len(l.Figures) > 0 {
		text += " (" + figuresText(l.Figures) + ")"
	}
	if l.Detail != "" {
		text += "; " + l.Detail
	}
	if len(l.Nodes) > 1 {
		text += fmt.Sprintf("; first recorded by %s, by the last node %s later", l.Nodes[0], l.Spread.Round(time.Millisecond))
	}
	return text
}

// kindTexts describes each kind of event; % stands for its subject.
var kindTexts = map[fleet.EventKind]string{
	fleet.EventRefusal:               "refused %",
	fleet.EventRetry:                 "tried again after a failed attempt at %",
	fleet.EventDegradation:           "degraded %, by this node alone",
	fleet.EventRecovery:              "recorded a recovery of %",
	fleet.EventEjection:              "ejected %, by agreement",
	fleet.EventEjectionRefused:       "refused to eject %",
	fleet.EventReturn:                "revoked the ejection of %",
	fleet.EventReadmission:           "uses % although it is ejected, to keep the floor",
	fleet.EventPoison:                "refuses % from now on",
	fleet.EventTrial:                 "decided about the trial request of %",
	fleet.EventCrash:                 "observed a crash of %",
	fleet.EventConfigurationAccepted: "put the configuration of % in force",
	fleet.EventConfigurationRefused:  "refused configuration change %",
	fleet.EventMemberState:           "recorded a new state of node %",
	fleet.EventBackendState:          "recorded the state of %",
	fleet.EventLogService:            "recorded the state of the log service",
	fleet.EventSkipped:               "skipped a record of the log",
	fleet.EventSealed:                "sealed %, which did not run and never will",
	fleet.EventRequest:               "returned the answer to %, with status",
	fleet.EventAttempt:               "could not answer an attempt of % as usual",
	fleet.EventAbandoned:             "gave up an attempt of % that may have run",
	fleet.EventSearch:                "looked for a slot for the next attempt of %",
	fleet.EventHedge:                 "made an attempt of % beside another one",
	fleet.EventFailing:               "changed its evaluation of %",
	fleet.EventLimit:                 "changed the limit of %",
	fleet.EventReachability:          "recorded a new state of the path to %",
	fleet.EventQuota:                 "recorded a change in the grants of quota %",
	fleet.EventStalled:               "dropped a connection to % that made no progress",
}

// kindText returns the description of a kind, or its name if there is none.
func kindText(kind fleet.EventKind) string {
	if text, found := kindTexts[kind]; found {
		return text
	}
	return string(kind)
}

// currentState returns the state in which the last decision left a backend server and
// what ends that state; empty if there is no such decision.
func (t Timeline) currentState() string {
	for _, line := range slices.Backward(t.Lines) {
		if line.Subject != t.Subject {
			continue
		}
		since := line.Time.Format(timeLayout)
		switch line.Kind {
		case fleet.EventEjection:
			return "ejected since " + since + "; it returns after its ejection time and good answers in probation, or by `cowsliptally override put " + t.Subject + " in`"
		case fleet.EventReadmission:
			return "ejected, in use since " + since + " because the floor needs it"
		case fleet.EventDegradation:
			return "degraded at " + line.nodeLabel() + " since " + since + "; it still counts as capacity and recovers when the evidence against it decays"
		case fleet.EventRecovery, fleet.EventReturn:
			return "recovering or healthy since " + since
		}
	}
	return ""
}

// figuresText returns a list of figures with their units.
func figuresText(list []Figure) string {
	texts := make([]string, 0, len(list))
	for _, figure := range list {
		text := figure.Name + " " + strconv.FormatFloat(figure.Value, 'g', 4, 64)
		if figure.Unit != "" {
			text += " " + figure.Unit
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ", ")
}

func countText(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
