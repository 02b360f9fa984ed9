package model

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// queueLength is the number of requests that wait at an owner.
	queueLength = 8
	// coldFactor is the slowness at the begin of a cold start, coldTime its length.
	coldFactor = 5.0
	coldTime   = 30 * time.Second
	// startTime is how long a backend server says that it starts.
	startTime = 10 * time.Second
)

// backend is one modelled backend server with its owner.
type backend struct {
	entry   fleet.Backend
	place   int
	speed   float64
	running int
	queued  []*attempt
	// born is the begin of a cold start; negative for none.
	born  time.Duration
	stall time.Duration
	// fault is what is wrong with it at the moment.
	fault fault
	// faulty is the time at which a fault was last there.
	faulty time.Duration
}

// slowness returns the factor on service times for a request kind.
func (b *backend) slowness(kind int, now time.Duration) float64 {
	factor := b.speed
	if b.born >= 0 && now-b.born < coldTime {
		left := 1 - float64(now-b.born)/float64(coldTime)
		factor *= 1 + (coldFactor-1)*left
	}
	if b.fault.active(now) && b.fault.slow > 1 && (b.fault.kind < 0 || b.fault.kind == kind) {
		factor *= b.fault.slow
	}
	return factor
}
