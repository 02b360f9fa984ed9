package forwarder

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/arbiter"
	"cowsliptally.example/cowsliptally/retrier"
)

const (
	// searchInterval is the time after which the owners that had no slot are asked again: about that of a
	// short request.
	searchInterval = 200 * time.Millisecond
	// searchRounds is the number of rounds of offers after which attempts are made again: they also wait for
	// a slot, and go to backend servers that are suspected failing.
	searchRounds = 5
	// maxSearchNumber is the number from which no such attempts are made: owners tell 63 attempts of a
	// request apart, and a slot that is found in the end needs one.
	maxSearchNumber = 40
)

// findSlot looks for a slot for a request whose attempt at work was ended by a planned stop, or given up for one
// that had a slot, and reports whether attempts go on after the one with this number.
//
// Load that this answers: many nodes that stop within seconds. All others are full or stop as well in the moment
// in which an owner ends, while the request has seconds left.
func (f *Forwarder) findSlot(ctx context.Context, s *submission, state *attemptState, last *result, number int) bool {
	if !state.displaced || last.reached || !retrier.Repeatable(last.outcome, s.idempotent) {
		return false
	}
	if state.deadlineRefusals >= maxDeadlineRefusals || s.maxRuns > 0 && state.ran >= s.maxRuns {
		return false
	}
	known := arbiter.New(s.started, s.deadline).WithRepeatable(false).WithEnding(arbiter.NodeEnded)
	for round := 1; known.WithDeadline(f.latestAnswer(s)).Next(f.clock.Now()) == arbiter.Search; round++ {
		if !f.wait(ctx, searchInterval) || s.hasLostOwners(f.directory, last) {
			return false
		}
		state.searchAgain(number)
		if round > searchRounds && number < maxSearchNumber {
			return true
		}
		offered := *s
		if state.successor = f.offerOthers(ctx, &offered, state, number+1); state.successor != nil {
			return !s.hasLostOwners(f.directory, last)
		}
	}
	return false
}
