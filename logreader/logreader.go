// Package logreader parses events from the log lines of nodes. One stream may hold the
// lines of many nodes.
package logreader

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"cowsliptally.example/cowsliptally/explainer"
	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// maxLine is the longest allowed line, in bytes.
	maxLine = 1 << 20
	// lineStart begins a log line; a prefix before it, such as the name of the VM that the
	// line was collected from, is ignored.
	lineStart = "time="
)

// Kind is the class of a failure to read.
type Kind string

// KindRead means that a stream cannot be read.
const KindRead Kind = "read"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Logreader collects the events about one subject.
type Logreader struct {
	subject string
	nodes   []string
	events  map[string][]fleet.Event
	skipped int
}

// New returns a Logreader for events about a subject, such as a request.
func New(subject string) *Logreader {
	return &Logreader{subject: subject, events: make(map[string][]fleet.Event)}
}

// Read collects the events of a stream. Lines that are not events or do not mention the
// subject are skipped.
func (l *Logreader) Read(in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Text()
		if !strings.Contains(line, l.subject) {
			continue
		}
		if event, ok := parse(line); ok {
			l.add(event)
		} else {
			l.skipped++
		}
	}
	if err := lines.Err(); err != nil {
		return fault.New("read logs", KindRead, "%w", err)
	}
	return nil
}

// Skipped returns the number of lines that mention the subject but cannot be parsed as
// events.
func (l *Logreader) Skipped() int { return l.skipped }

// Sources returns the events grouped by node, as input of package explainer.
func (l *Logreader) Sources() []explainer.Source {
	var sources []explainer.Source
	for _, node := range l.nodes {
		sources = append(sources, explainer.Source{Node: node, Events: l.events[node]})
	}
	return sources
}

func (l *Logreader) add(event fleet.Event) {
	if event.Subject != l.subject && !strings.Contains(event.Detail, l.subject) {
		return
	}
	node := string(event.Node)
	if _, found := l.events[node]; !found {
		l.nodes = append(l.nodes, node)
	}
	l.events[node] = append(l.events[node], event)
}

// parse parses one line; it returns false if the line is not an event.
func parse(line string) (fleet.Event, bool) {
	start := strings.Index(line, lineStart)
	if start < 0 {
		return fleet.Event{}, false
	}
	var event fleet.Event
	decoder := logfmt.NewDecoder(strings.NewReader(line[start:]))
	if !decoder.ScanRecord() {
		return event, false
	}
	for decoder.ScanKeyval() {
		if err := setField(&event, string(decoder.Key()), string(decoder.Value())); err != nil {
			return event, false
		}
	}
	return event, decoder.Err() == nil && event.Node != "" && event.Kind != ""
}

// setField sets the field of one key-value pair; keys that are not event fields become
// figures.
func setField(event *fleet.Event, key, value string) (err error) {
	switch key {
	case "time":
		event.Time, err = time.Parse(time.RFC3339Nano, value)
	case "level":
	case "msg":
		event.Kind = fleet.EventKind(value)
	case "node":
		event.Node = fleet.NodeID(value)
	case "sequence":
		event.Sequence, err = strconv.ParseUint(value, 10, 64)
	case "service":
		event.Service = fleet.ServiceName(value)
	case "subject":
		event.Subject = value
	case "reason":
		event.Reason = value
	case "detail":
		event.Detail = value
	default:
		event.Figures, err = addFigure(event.Figures, key, value)
	}
	return err
}

// addFigure appends a number followed by its unit; other values are skipped.
func addFigure(figures []fleet.Figure, name, text string) ([]fleet.Figure, error) {
	end := strings.LastIndexAny(text, "0123456789") + 1
	if end == 0 {
		return figures, nil
	}
	value, err := strconv.ParseFloat(text[:end], 64)
	if errors.Is(err, strconv.ErrSyntax) {
		return figures, nil
	}
	return append(figures, fleet.Figure{Name: name, Value: value, Unit: text[end:]}), err
}
