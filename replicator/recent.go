package replicator

import cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"

const (
	// maxRecent is the number of latest records that are kept for peers.
	maxRecent = 2048
	// maxRecentBytes bounds the total size of their payloads.
	maxRecentBytes = 1 << 20
)

// recentRecords holds the latest applied records, without gaps.
type recentRecords struct {
	entries []*cowsliptallyv1.Entry
	bytes   int
}

// add appends a record; a gap to the last one discards the records before it.
func (r *recentRecords) add(offset uint64, payload []byte) {
	if last := len(r.entries); last > 0 && r.entries[last-1].GetOffset()+1 != offset {
		r.clear()
	}
	r.entries = append(r.entries, &cowsliptallyv1.Entry{Offset: offset, Payload: payload})
	r.bytes += len(payload)
	for len(r.entries) > maxRecent || r.bytes > maxRecentBytes {
		r.bytes -= len(r.entries[0].GetPayload())
		r.entries[0] = nil
		r.entries = r.entries[1:]
	}
}

func (r *recentRecords) clear() {
	*r = recentRecords{}
}

// from returns the records from an offset on, if all of them are kept.
func (r *recentRecords) from(offset uint64) ([]*cowsliptallyv1.Entry, bool) {
	if len(r.entries) == 0 || offset < r.entries[0].GetOffset() {
		return nil, false
	}
	first := offset - r.entries[0].GetOffset()
	if first >= uint64(len(r.entries)) {
		return nil, false
	}
	return append([]*cowsliptallyv1.Entry(nil), r.entries[first:]...), true
}
