package allocator

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// entry is the state of one organisation at a node that grants for it.
type entry struct {
	// tokens is the credit at time at, refilled by rate tokens a second.
	tokens float64
	at     time.Duration
	rate   float64
	// cap is the credit above which nothing is refilled.
	cap float64
	// fullAt is the last time at which the bucket was full, or was created.
	fullAt time.Duration
	// usedAt is the time of the last call.
	usedAt time.Duration
	limit  fleet.Limit
	// revision is that of the limit.
	revision fleet.Revision

	// second is the node that promised, until promisedUntil, to grant nothing.
	second        fleet.NodeID
	promisedUntil time.Duration
	// attemptedAt is the time of the last request for that promise; pending is set while it runs.
	attemptedAt time.Duration
	attempted   fleet.NodeID
	pending     bool
	// told is the credit that the second node was told of; failedAt is when that failed last.
	told     float64
	failedAt time.Duration
	// deferUntil is set when the second node refused its promise: the grants are left to it.
	deferUntil time.Duration
	// handed is set when the bucket was taken over from the node that granted before.
	handed bool
	// heardUntil is the end of this node's own promise to the first one.
	heardUntil time.Duration

	// doubt is the credit for a node that does not know whether others grant.
	doubt   float64
	doubtAt time.Duration

	// granted counts the credit of the current and the last second, for operators.
	granted, before int
	countedSecond   int64
}

// refill adds the credit of the time since the last call, at the lower of the rates before and now.
func (e *entry) refill(rate, most float64, now time.Duration) {
	if now > e.at {
		e.tokens += min(e.rate, rate) * (now - e.at).Seconds()
		e.at = now
	}
	e.rate, e.cap = rate, most
	if e.tokens >= most {
		e.fullAt = now
		e.tokens = most
	}
}

// count adds granted credit to the figures for operators.
func (e *entry) count(n int, now time.Duration) {
	number := int64(now / time.Second)
	switch {
	case number == e.countedSecond+1:
		e.before, e.granted = e.granted, 0
	case number > e.countedSecond:
		e.before, e.granted = 0, 0
	}
	e.countedSecond = number
	e.granted += n
}
