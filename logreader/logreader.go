// Package logreader reads events back from the log lines of nodes, of one node or of
// many mixed in one stream.
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
	// maxLine is the longest line that is read, in bytes.
	maxLine = 1 << 20
	// lineStart begins a log line; what stands before it, such as the name of a VM that
	// collected the line, is left out.
	lineStart = "time="
)

// Kind is the class of a failure to read.
type Kind string

// KindRead means that the stream cannot be read.
const KindRead Kind = "read"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Logreader collects the events about one subject.
type Logreader struct {
	subject string
	order   []string
	events  map[string][]fleet.Event
	skipped int
}

// New returns a reader of the events about a subject, such as a request.
func New(subject string) *Logreader {
	return &Logreader{subject: subject, events: make(map[string][]fleet.Event)}
}

// Read takes in a stream. Lines that are no events, or about something else, are passed over.
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

// Skipped returns the lines that mention the subject and cannot be read.
func (l *Logreader) Skipped() int { return l.skipped }

// Sources returns the events by node, as the explainer takes them.
func (l *Logreader) Sources() []explainer.Source {
	var sources []explainer.Source
	for _, node := range l.order {
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
		l.order = append(l.order, node)
	}
	l.events[node] = append(l.events[node], event)
}

// parse reads one line.
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
		if err := set(&event, string(decoder.Key()), string(decoder.Value())); err != nil {
			return event, false
		}
	}
	return event, decoder.Err() == nil && event.Node != "" && event.Kind != ""
}

// set enters one pair of a line; what is no word of every event is a figure.
func set(event *fleet.Event, key, value string) (err error) {
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

// addFigure reads a number followed by its unit; other values are passed over.
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
