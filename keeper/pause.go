package keeper

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// isolationLimit is how long a node that was paused and reaches neither log nor
// peers waits until it goes on with what it knows.
const isolationLimit = 10 * time.Second

// runWatch marks ticks and doubts the state after each pause.
func (k *Keeper) runWatch(ctx context.Context) {
	var doubted time.Time
	for {
		select {
		case <-k.clock.After(tick):
		case <-ctx.Done():
			return
		}
		if k.watch.paused() {
			doubted = k.clock.Now()
			k.doubt()
		}
		k.watch.mark()
		k.endIsolation(doubted)
	}
}

// doubt makes the node unready until its state was compared again.
func (k *Keeper) doubt() {
	k.mu.Lock()
	k.current = false
	k.pauses++
	k.broadcast()
	k.mu.Unlock()
	k.recorder.Record(fleet.NewEvent(fleet.EventLog, "state", "the process was paused: comparing the state"))
	k.wakePeers()
}

// endIsolation lets a node that knew a state before its pause go on with it when
// neither the log nor any peer can be reached.
func (k *Keeper) endIsolation(doubted time.Time) {
	k.mu.Lock()
	isolated := k.known && !k.current && k.status != StatusUp && k.clock.Since(doubted) > isolationLimit
	if isolated {
		k.current = true
		k.broadcast()
	}
	k.mu.Unlock()
	if isolated {
		k.recorder.Record(fleet.NewEvent(fleet.EventLog, "state", "neither log nor peers answer: going on with the known state"))
	}
}
