package replicator

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/reducer"
)

const (
	// queryInterval is the time between two rounds of queries while the log is not
	// sufficient.
	queryInterval = 2 * time.Second
	// minQueryInterval is the minimum time between two rounds.
	minQueryInterval = 250 * time.Millisecond
	// queryTimeout bounds one round.
	queryTimeout = 5 * time.Second
	// sufficientResponses is the number of responses that make the state current.
	sufficientResponses = 2
)

// runQueries queries peers as long as the log does not provide the newest state.
func (k *Replicator) runQueries(ctx context.Context) {
	for {
		if k.needsQuery() {
			k.queryPeers(ctx)
		}
		select {
		case <-k.clock.After(minQueryInterval):
		case <-ctx.Done():
			return
		}
		select {
		case <-k.wake:
		case <-k.clock.After(queryInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (k *Replicator) needsQuery() bool {
	behind := k.peerOffset.Load() > k.State().NextOffset()
	k.mu.Lock()
	defer k.mu.Unlock()
	return behind || !k.current || k.status != StatusUp
}

// queryPeers queries several peers once and applies what is newer than the state.
func (k *Replicator) queryPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	k.mu.Lock()
	pauses := k.pauses
	k.mu.Unlock()
	queried, responses := k.peers.FetchStates(ctx, k.State().NextOffset())
	for _, response := range responses {
		k.applyResponse(response)
	}
	sufficient := len(responses) >= sufficientResponses || (queried > 0 && len(responses) == queried)
	if !sufficient || k.pauseDetector.paused() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recovery == nil && k.pauses == pauses {
		k.everCurrent = true
		k.current = true
		k.broadcast()
	}
}

// applyResponse applies a peer's records or adopts its state.
func (k *Replicator) applyResponse(response *cowsliptallyv1.FetchStateResponse) {
	k.mu.Lock()
	var events []fleet.Event
	if response.GetState() != nil && response.GetState().GetNextOffset() > k.State().NextOffset() {
		state, err := reducer.FromCheckpoint(response.GetState())
		if err != nil {
			events = []fleet.Event{fleet.NewEvent(fleet.EventSkipped, "state of a peer", err.Error())}
		} else {
			events = k.adopt(state, "a peer")
		}
	}
	for _, entry := range response.GetEntries() {
		events = append(events, k.applyRecord(entry.GetOffset(), entry.GetPayload())...)
	}
	if k.recovery != nil && k.State().NextOffset() >= k.recovery.oldest {
		k.recovery = nil
	}
	k.mu.Unlock()
	k.record(events)
}
