package server

import "cowsliptally.example/cowsliptally/logclient"

// stream is one append-only sequence of records.
type stream struct {
	oldest  uint64
	entries []logclient.Entry
	// grown is closed and replaced by each append.
	grown chan struct{}
}

func newStream() *stream {
	return &stream{grown: make(chan struct{})}
}

func (s *stream) next() uint64 {
	return s.oldest + uint64(len(s.entries))
}

func (s *stream) append(payload []byte) uint64 {
	offset := s.next()
	s.entries = append(s.entries, logclient.Entry{Offset: offset, Payload: payload})
	s.wake()
	return offset
}

// wake wakes all readers that wait.
func (s *stream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// retain drops all but the last records; 0 keeps all.
func (s *stream) retain(records int) {
	excess := len(s.entries) - records
	if records == 0 || excess <= 0 {
		return
	}
	s.entries = s.entries[excess:]
	s.oldest += uint64(excess)
}

func (s *stream) read(from uint64, limit int) logclient.Batch {
	batch := logclient.Batch{Oldest: s.oldest, Next: s.next(), Entries: []logclient.Entry{}}
	if from < s.oldest || from >= s.next() {
		return batch
	}
	kept := s.entries[from-s.oldest:]
	if limit > 0 && len(kept) > limit {
		kept = kept[:limit]
	}
	batch.Entries = append(batch.Entries, kept...)
	return batch
}
