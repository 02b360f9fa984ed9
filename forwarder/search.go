package forwarder

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/arbiter"
)

// searchInterval is the time after which the owners that had no slot are asked again: about that of a short
// request.
const searchInterval = 200 * time.Millisecond

// waitForSlot reports whether attempts go on, after a while, for a request whose attempt at work was ended by a
// planned stop, or given up for one that had a slot, and for which no other owner has one. There were this
// many attempts.
//
// Load that this answers: many nodes that stop within seconds. All others are full or stop as well in the moment
// in which an owner ends, while the request has seconds left.
func (f *Forwarder) waitForSlot(ctx context.Context, s *submission, state *attemptState, attempts int) bool {
	if !state.displaced || state.deadlineRefusals >= maxDeadlineRefusals || s.maxRuns > 0 && state.ran >= s.maxRuns {
		return false
	}
	known := arbiter.New(s.started, f.latestAnswer(s)).WithEnding(arbiter.NodeEnded)
	if s.idempotent {
		known = known.WithRepeatable(false)
	}
	if known.Next(f.clock.Now()) != arbiter.Search {
		return false
	}
	state.searchAgain(attempts)
	return f.wait(ctx, searchInterval)
}
