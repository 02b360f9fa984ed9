// Package monitor notices that the process did not run for a while, because it was frozen or got no processor time.
package monitor

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// interval is the time between two checks.
	interval = 50 * time.Millisecond
	// minStall is the shortest time without a check that counts as a stall. A processor quota that is used up
	// keeps a process from running for 100 ms.
	minStall = 250 * time.Millisecond
)

// Monitor records the last stall of the process. It is safe for concurrent use.
type Monitor struct {
	clock clockwork.Clock

	mu sync.Mutex
	// checked is the time of the last check, resumed the end of the last stall; zero without one.
	checked, resumed time.Time
}

// New returns a monitor of the time from a moment on. Run has it check.
func New(since time.Time, options ...Option) *Monitor {
	m := &Monitor{clock: clockwork.NewRealClock(), checked: since}
	for _, option := range options {
		option(m)
	}
	return m
}

// Run checks until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	ticker := m.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			m.Resumed()
		case <-ctx.Done():
			return
		}
	}
}

// Resumed returns when the last stall ended, and whether there was one. It is a check by itself: timers that are
// due at the end of a stall fire in any order, and each may ask before Run has checked.
func (m *Monitor) Resumed() (at time.Time, stalled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if now.Sub(m.checked) >= minStall {
		m.resumed = now
	}
	m.checked = now
	return m.resumed, !m.resumed.IsZero()
}
