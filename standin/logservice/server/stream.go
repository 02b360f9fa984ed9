package server

import "cowsliptally.example/cowsliptally/logclient"

// stream is an append-only sequence of records, of which the oldest may have
// been dropped.
type stream struct {
	oldest  uint64
	entries []logclient.Entry
	// changed is closed and replaced by each append and each change of the faults.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

// next returns the offset of the next record.
func (s *stream) next() uint64 {
	return s.oldest + uint64(len(s.entries))
}

func (s *stream) append(payload []byte) uint64 {
	offset := s.next()
	s.entries = append(s.entries, logclient.Entry{Offset: offset, Payload: payload})
	s.wake()
	return offset
}

// wake wakes all waiting readers.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// retain drops all but the newest records; 0 keeps all.
func (s *stream) retain(records int) {
	excess := len(s.entries) - records
	if records == 0 || excess <= 0 {
		return
	}
	s.entries = s.entries[excess:]
	s.oldest += uint64(excess)
}

// read returns at most limit records from an offset on, and none if that offset
// has expired; a limit of 0 sets no bound.
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
