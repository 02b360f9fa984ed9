package keeper

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// tick is how often the watch looks at the clock.
	tick = 500 * time.Millisecond
	// pauseLimit is the gap between ticks from which the process counts as paused.
	pauseLimit = 5 * time.Second
)

// watch notices that the process stood still.
type watch struct {
	clock clockwork.Clock
	mu    sync.Mutex
	last  time.Time
	// started tells that ticks are expected.
	started bool
}

func newWatch(clock clockwork.Clock) *watch {
	return &watch{clock: clock}
}

// paused reports whether the last tick is too long ago.
func (w *watch) paused() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started && gap(w.last, w.clock.Now()) > pauseLimit
}

// mark notes a tick.
func (w *watch) mark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = true
	w.last = w.clock.Now()
}

// gap returns the longer of the monotonic and the wall time between two moments,
// because a frozen VM may stop either clock.
func gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
