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
func (k *Replicator) detectPauses(ctx context.Context) {
	var pausedAt time.Time
	for {
		select {
		case <-k.clock.After(tickInterval):
		case <-ctx.Done():
			return
		}
		if k.pauseDetector.paused() {
			pausedAt = k.clock.Now()
			k.invalidate()
		}
		k.pauseDetector.mark()
		k.endIsolation(pausedAt)
	}
}

// invalidate makes the node unready until its state was compared again.
func (k *Replicator) invalidate() {
	k.mu.Lock()
	k.current = false
	k.pauses++
	k.broadcast()
	k.mu.Unlock()
	k.recorder.Record(fleet.NewEvent(fleet.EventLogService, "state", "the process was paused; the state is not current until it is compared again"))
	k.triggerQuery()
}

// endIsolation makes the state current again if neither the log nor any peer can
// be reached after the pause and the state was current at any time before.
func (k *Replicator) endIsolation(pausedAt time.Time) {
	k.mu.Lock()
	isolated := k.everCurrent && !k.current && k.status != StatusUp && k.clock.Since(pausedAt) > isolationTimeout
	if isolated {
		k.current = true
		k.broadcast()
	}
	k.mu.Unlock()
	if isolated {
		k.recorder.Record(fleet.NewEvent(fleet.EventLogService, "state", "neither the log service nor peers respond; continuing with the last known state"))
	}
}
