package forecaster

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// minEvidence is the number of service times from which the longest one tells how long the next
// may take: a slow one in fifty is among them in nineteen cases of twenty.
const minEvidence = 150

// window holds the longest service time of a kind in the present lifetime and in the one before.
type window struct {
	since              time.Time
	longest, earlier   time.Duration
	count, countBefore int
}

func (w *window) record(took time.Duration, now time.Time) {
	w.turn(now)
	w.longest = max(w.longest, took)
	w.count++
}

// turn begins the next window once the present one is over.
func (w *window) turn(now time.Time) {
	age := now.Sub(w.since)
	if age < lifetime {
		return
	}
	w.earlier, w.countBefore = w.longest, w.count
	if age >= 2*lifetime {
		w.earlier, w.countBefore = 0, 0
	}
	w.longest, w.count, w.since = 0, 0, now
}

// RecordUnfinished records that a request took at least this long when it was given up. It is no
// evidence of how long others take.
func (f *Forecaster) RecordUnfinished(kind fleet.RequestKind, took time.Duration, now time.Time) {
	if w, found := f.windows[kind]; found {
		w.turn(now)
		w.longest = max(w.longest, took)
	}
}

// Longest returns the longest service time of a kind in the last 15 to 30 s, and whether there
// were enough to tell.
func (f *Forecaster) Longest(kind fleet.RequestKind, now time.Time) (time.Duration, bool) {
	w, found := f.windows[kind]
	if !found {
		return 0, false
	}
	w.turn(now)
	return max(w.longest, w.earlier), w.count+w.countBefore >= minEvidence
}

func (f *Forecaster) windowOf(kind fleet.RequestKind, now time.Time) *window {
	w, found := f.windows[kind]
	if !found {
		w = &window{since: now}
		f.windows[kind] = w
	}
	return w
}
