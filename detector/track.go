package detector

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// maxPending bounds the attempts that are watched for one backend server.
const maxPending = 64

// Attempt names a request in flight to Detector.End.
type Attempt struct {
	Backend fleet.BackendID
	Number  uint32
}

// pending is one request in flight.
type pending struct {
	start  time.Time
	number uint32
	kind   uint8
}

// track is what is kept of one backend server.
type track struct {
	// sums is the evidence by request kind; place 0 is all kinds together.
	sums    []sums
	pending []pending
	last    time.Time
	// late is the time of the last result that did not come in time.
	late time.Time
	// grace is the end of the time in which long times are no evidence.
	grace time.Time
}

// at returns the sums of a request kind.
func (t *track) at(kind int) *sums {
	for len(t.sums) <= kind {
		t.sums = append(t.sums, sums{})
	}
	return &t.sums[kind]
}

// remove takes a request out of those in flight.
func (t *track) remove(number uint32) {
	for i := range t.pending {
		if t.pending[i].number != number {
			continue
		}
		last := len(t.pending) - 1
		t.pending[i] = t.pending[last]
		t.pending = t.pending[:last]
		return
	}
}

// suspect reports whether a request kind or all of them are under suspicion.
func (t *track) suspect(kind int) bool {
	return t.sums[0].suspect() || kind < len(t.sums) && t.sums[kind].suspect()
}
