package admitter

import (
	"slices"
	"time"
)

const (
	// returnFactor scales the time until there is room for a refused request: new requests
	// take part of the room that those in the queue leave.
	returnFactor = 2
	// maxReturns bounds the refused requests that are kept.
	maxReturns = 256
)

// returns holds the refused requests that are expected to come back, so that they come back
// one after the other, the most valuable first, and not all at once.
//
// Load that it answers: bursts of seconds, in which callers that all wait for the same time
// meet a full queue again.
type returns struct {
	expected []expectedReturn
}

// expectedReturn is a refused request that is expected to come back.
type expectedReturn struct {
	at    time.Time
	value float64
}

// promise returns the time after which room is expected for a refused request of this value,
// with so many requests in the queue, itself included, of which one leaves each turn.
func (r *returns) promise(value float64, queued int, turn time.Duration, now time.Time) time.Duration {
	r.expected = slices.DeleteFunc(r.expected, func(e expectedReturn) bool { return !e.at.After(now) })
	ahead := queued
	for _, e := range r.expected {
		if e.value >= value {
			ahead++
		}
	}
	wait := returnFactor * time.Duration(ahead) * turn
	if len(r.expected) < maxReturns {
		r.expected = append(r.expected, expectedReturn{at: now.Add(wait), value: value})
	}
	return wait
}
