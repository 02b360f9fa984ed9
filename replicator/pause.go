package replicator

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// isolationTimeout is how long a node that was paused and reaches neither the log
// nor peers waits before it continues with its last known state.
const isolationTimeout = 10 * time.Second

// detectPauses records ticks and invalidates the state after each pause.
func (r *Replicator) detectPauses(ctx context.Context) {
	var pausedAt time.Time
	for {
		select {
		case <-r.clock.After(tickInterval):
		case <-ctx.Done():
			return
		}
		if r.pauseDetector.paused() {
			pausedAt = r.clock.Now()
			r.invalidate()
		}
		r.pauseDetector.mark()
		r.endIsolation(pausedAt)
	}
}

// invalidate makes the node unready until its state was compared again.
func (r *Replicator) invalidate() {
	r.mu.Lock()
	r.current = false
	r.pauses++
	r.broadcast()
	r.mu.Unlock()
	r.recorder.Record(fleet.NewEvent(fleet.EventLogService, "state", "the process was paused: comparing the state"))
	r.triggerQuery()
}

// endIsolation makes the state current again if neither the log nor any peer can
// be reached after the pause and the state was current at any time before.
func (r *Replicator) endIsolation(pausedAt time.Time) {
	r.mu.Lock()
	isolated := r.everCurrent && !r.current && r.status != StatusUp && r.clock.Since(pausedAt) > isolationTimeout
	if isolated {
		r.current = true
		r.broadcast()
	}
	r.mu.Unlock()
	if isolated {
		r.recorder.Record(fleet.NewEvent(fleet.EventLogService, "state", "neither log nor peers answer: going on with the known state"))
	}
}
