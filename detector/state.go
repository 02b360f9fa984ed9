package detector

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// maxPending bounds the attempts in flight that are tracked for one backend server.
const maxPending = 64

// Attempt identifies a request in flight for Detector.End.
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

// state is the state of one backend server.
type state struct {
	// sums is the evidence by request kind; index 0 is all kinds together.
	sums    []sums
	pending []pending
	last    time.Time
	// late is the time of the last timeout.
	late time.Time
	// ignoreUntil is the end of the period in which long times are no evidence.
	ignoreUntil time.Time
}

// at returns the sums of a request kind.
func (b *state) at(kind int) *sums {
	for len(b.sums) <= kind {
		b.sums = append(b.sums, sums{})
	}
	return &b.sums[kind]
}

// remove removes a request from those in flight.
func (b *state) remove(number uint32) {
	for i := range b.pending {
		if b.pending[i].number != number {
			continue
		}
		last := len(b.pending) - 1
		b.pending[i] = b.pending[last]
		b.pending = b.pending[:last]
		return
	}
}

// suspect reports whether a request kind or all kinds together are suspect.
func (b *state) suspect(kind int) bool {
	return b.sums[0].suspect() || kind < len(b.sums) && b.sums[kind].suspect()
}
