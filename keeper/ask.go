package keeper

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/folder"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

const (
	// askEvery is how often peers are asked while the log does not suffice.
	askEvery = 2 * time.Second
	// askSoonest is the shortest time between two rounds.
	askSoonest = 250 * time.Millisecond
	// askTimeout bounds one round.
	askTimeout = 5 * time.Second
	// enoughAnswers is the number of peers that make the state current.
	enoughAnswers = 2
)

// runPeers asks peers as long as the log does not bring the newest state.
func (k *Keeper) runPeers(ctx context.Context) {
	for {
		if k.needsPeers() {
			k.ask(ctx)
		}
		select {
		case <-k.clock.After(askSoonest):
		case <-ctx.Done():
			return
		}
		select {
		case <-k.wake:
		case <-k.clock.After(askEvery):
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) needsPeers() bool {
	behind := k.hint.Load() > k.State().NextOffset()
	k.mu.Lock()
	defer k.mu.Unlock()
	return behind || !k.current || k.status != StatusUp
}

// ask asks several peers once and takes what is newer.
func (k *Keeper) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	k.mu.Lock()
	pauses := k.pauses
	k.mu.Unlock()
	asked, answers := k.peers.FetchStates(ctx, k.State().NextOffset())
	for _, answer := range answers {
		k.take(answer)
	}
	enough := len(answers) >= enoughAnswers || (asked > 0 && len(answers) == asked)
	if !enough || k.watch.paused() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recovery == nil && k.pauses == pauses {
		k.known = true
		k.current = true
		k.broadcast()
	}
}

// take folds or adopts what a peer answered.
func (k *Keeper) take(answer *cowsliptallyv1.FetchStateResponse) {
	k.mu.Lock()
	var events []fleet.Event
	if answer.GetState() != nil && answer.GetState().GetNextOffset() > k.State().NextOffset() {
		state, err := folder.FromCheckpoint(answer.GetState())
		if err != nil {
			events = []fleet.Event{fleet.NewEvent(fleet.EventSkipped, "state of a peer", err.Error())}
		} else {
			events = k.adopt(state, "a peer")
		}
	}
	for _, entry := range answer.GetEntries() {
		events = append(events, k.fold(entry.GetOffset(), entry.GetPayload())...)
	}
	if k.recovery != nil && k.State().NextOffset() >= k.recovery.oldest {
		k.recovery = nil
	}
	k.mu.Unlock()
	k.record(events)
}
