package replicator

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// tickInterval is the time between two ticks.
	tickInterval = 500 * time.Millisecond
	// pauseThreshold is the gap between ticks above which the process is considered
	// paused.
	pauseThreshold = 5 * time.Second
)

// pauseDetector detects pauses of the process by gaps between ticks.
type pauseDetector struct {
	clock clockwork.Clock
	mu    sync.Mutex
	last  time.Time
	// started is set once ticks are expected.
	started bool
}

func newPauseDetector(clock clockwork.Clock) *pauseDetector {
	return &pauseDetector{clock: clock}
}

// paused reports whether the last tick was too long ago.
func (d *pauseDetector) paused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started && gap(d.last, d.clock.Now()) > pauseThreshold
}

// mark records a tick.
func (d *pauseDetector) mark() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started = true
	d.last = d.clock.Now()
}

// gap returns the longer of the monotonic and the wall-clock time between two
// moments, as either clock may stop while a VM is frozen.
func gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
