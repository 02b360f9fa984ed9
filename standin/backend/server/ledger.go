package server

import (
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
)

// Ledger counts the runs of each request. Each change is first written to a sink
// as one line of JSON, so that it survives a kill of the process.
type Ledger struct {
	mu      sync.Mutex
	backend string
	sink    io.Writer
	entries map[string]Entry
}

// NewLedger returns an empty ledger of a backend server; sink may be nil.
func NewLedger(backend string, sink io.Writer) *Ledger {
	return &Ledger{backend: backend, sink: sink, entries: map[string]Entry{}}
}

// Start counts the start of a run.
func (l *Ledger) Start(request, key string, idempotent bool) error {
	started := Entry{Request: request, Key: key, Backend: l.backend, Idempotent: idempotent, Starts: 1}
	return l.add(started)
}

// Finish counts a run that completed with its answer.
func (l *Ledger) Finish(request string) error {
	return l.add(Entry{Request: request, Backend: l.backend, Idempotent: true, Finishes: 1})
}

// Entries returns all entries, sorted by request.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := make([]Entry, 0, len(l.entries))
	for _, entry := range l.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Request, b.Request) })
	return entries
}

// add writes a change to the sink and merges it into the entries.
func (l *Ledger) add(change Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sink != nil {
		line, err := json.Marshal(change)
		if err != nil {
			return err
		}
		if _, err := l.sink.Write(append(line, '\n')); err != nil {
			return err
		}
	}
	l.entries[change.Request] = l.entries[change.Request].merge(change)
	return nil
}

// merge adds the counts of another entry of the same request.
func (e Entry) merge(other Entry) Entry {
	if e.Request == "" {
		return other
	}
	e.Starts += other.Starts
	e.Finishes += other.Finishes
	e.Idempotent = e.Idempotent && other.Idempotent
	if e.Key == "" {
		e.Key = other.Key
	}
	return e
}

// ReadLedger returns the merged entries that a ledger wrote to its sink, sorted
// by request. A last line that was cut off by a kill is ignored.
func ReadLedger(source io.Reader) ([]Entry, error) {
	entries := map[string]Entry{}
	decoder := json.NewDecoder(source)
	for {
		var line Entry
		err := decoder.Decode(&line)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		entries[line.Request] = entries[line.Request].merge(line)
	}
	merged := make([]Entry, 0, len(entries))
	for _, entry := range entries {
		merged = append(merged, entry)
	}
	slices.SortFunc(merged, func(a, b Entry) int { return strings.Compare(a.Request, b.Request) })
	return merged, nil
}
