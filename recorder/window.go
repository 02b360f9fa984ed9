package recorder

import "cowsliptally.example/cowsliptally/fleet"

// window keeps the newest events, up to its capacity.
type window struct {
	entries  []fleet.Event
	capacity int
	// next is the index of the oldest entry once the window is full.
	next int
}

func newWindow(capacity int) *window { return &window{capacity: capacity} }

func (w *window) add(event fleet.Event) {
	if len(w.entries) < w.capacity {
		w.entries = append(w.entries, event)
		return
	}
	w.entries[w.next] = event
	w.next = (w.next + 1) % w.capacity
}

// ordered returns the entries, oldest first.
func (w *window) ordered() []fleet.Event {
	ordered := make([]fleet.Event, 0, len(w.entries))
	ordered = append(ordered, w.entries[w.next:]...)
	return append(ordered, w.entries[:w.next]...)
}

// merge joins two ordered lists into one, by sequence.
func merge(a, b []fleet.Event) []fleet.Event {
	merged := make([]fleet.Event, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].Sequence < b[0].Sequence {
			merged, a = append(merged, a[0]), a[1:]
			continue
		}
		merged, b = append(merged, b[0]), b[1:]
	}
	return append(append(merged, a...), b...)
}
