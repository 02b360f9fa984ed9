package model

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// queueLength is the number of requests that may queue for a backend server at
	// its owner.
	queueLength = 8
	// coldStartFactor is the factor on service times at the beginning of a cold
	// start; it falls linearly to 1 over coldStartTime.
	coldStartFactor = 5.0
	coldStartTime   = 30 * time.Second
	// startingTime is how long a new backend server reports that it is starting.
	startingTime = 10 * time.Second
)

// backend is one modelled backend server with its queue at the owner.
type backend struct {
	entry fleet.Backend
	// index is the position in Model.backends.
	index int
	// timeFactor is the factor on service times of its VM.
	timeFactor float64
	running    int
	queued     []*attempt
	// coldStart is the beginning of a cold start; negative for none.
	coldStart time.Duration
	// fault is the current fault.
	fault fault
	// faultEnd is the end of the last fault.
	faultEnd time.Duration
}

// slowness returns the factor on service times for a request kind.
func (b *backend) slowness(kind int, now time.Duration) float64 {
	factor := b.timeFactor
	if b.coldStart >= 0 && now-b.coldStart < coldStartTime {
		remaining := 1 - float64(now-b.coldStart)/float64(coldStartTime)
		factor *= 1 + (coldStartFactor-1)*remaining
	}
	if b.fault.active(now) && b.fault.slow > 1 && (b.fault.kind < 0 || b.fault.kind == kind) {
		factor *= b.fault.slow
	}
	return factor
}
