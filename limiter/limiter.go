// Package limiter enforces the request limits of organisations in a fixed amount of memory.
//
// Each organisation's state is one time stamp (the generic cell rate algorithm).
// An organisation whose stamp lies in the past is at its full burst, so its cell
// can be reused without loss; only organisations with recent requests occupy cells.
package limiter

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// sets and ways fix the memory: sets * ways cells of 16 bytes.
	sets = 8192
	ways = 8
)

// cell is the state of one organisation.
type cell struct {
	organisation uint64
	// fullAt is the time since start at which the organisation is at its full burst again.
	fullAt time.Duration
}

// Limiter admits requests of organisations. It is safe for concurrent use.
type Limiter struct {
	clock clockwork.Clock
	start time.Time

	mu    sync.Mutex
	cells [sets][ways]cell
}

// New returns a limiter with every organisation at its full burst.
func New(clock clockwork.Clock) *Limiter {
	return &Limiter{clock: clock, start: clock.Now()}
}

// Allow reports whether a request of the organisation is within its limit, and counts it if it is.
func (l *Limiter) Allow(limit fleet.Limit) bool {
	if limit.RequestsPerSecond <= 0 {
		return false
	}
	interval := time.Duration(float64(time.Second) / limit.RequestsPerSecond)
	tolerance := interval * time.Duration(max(1, limit.Burst)-1)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Since(l.start)
	c := l.find(xxhash.Sum64String(string(limit.Organisation)))
	full := max(c.fullAt, now)
	if full-now > tolerance {
		return false
	}
	c.fullAt = full + interval
	return true
}

// find returns the cell of an organisation. When it has none, it reuses the cell
// that is nearest to its full burst. If that one is still in use, its time stamp is
// inherited, which may be stricter than the limit but never more lenient.
func (l *Limiter) find(organisation uint64) *cell {
	set := &l.cells[organisation%sets]
	least := &set[0]
	for i := range set {
		if set[i].organisation == organisation {
			return &set[i]
		}
		if set[i].fullAt < least.fullAt {
			least = &set[i]
		}
	}
	least.organisation = organisation
	return least
}
