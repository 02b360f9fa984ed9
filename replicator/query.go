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
func (r *Replicator) runQueries(ctx context.Context) {
	for {
		if r.needsQuery() {
			r.queryPeers(ctx)
		}
		select {
		case <-r.clock.After(minQueryInterval):
		case <-ctx.Done():
			return
		}
		select {
		case <-r.wake:
		case <-r.clock.After(queryInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (r *Replicator) needsQuery() bool {
	behind := r.peerOffset.Load() > r.State().NextOffset()
	r.mu.Lock()
	defer r.mu.Unlock()
	return behind || !r.current || r.status != StatusUp
}

// queryPeers queries several peers once and applies what is newer than the state.
func (r *Replicator) queryPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r.mu.Lock()
	pauses := r.pauses
	r.mu.Unlock()
	queried, responses := r.peers.FetchStates(ctx, r.State().NextOffset())
	for _, response := range responses {
		r.applyResponse(response)
	}
	sufficient := len(responses) >= sufficientResponses || (queried > 0 && len(responses) == queried)
	if !sufficient || r.pauseDetector.paused() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovery == nil && r.pauses == pauses {
		r.everCurrent = true
		r.current = true
		r.broadcast()
	}
}

// applyResponse applies a peer's records or adopts its state.
func (r *Replicator) applyResponse(response *cowsliptallyv1.FetchStateResponse) {
	r.mu.Lock()
	var events []fleet.Event
	if response.GetState() != nil && response.GetState().GetNextOffset() > r.State().NextOffset() {
		state, err := reducer.FromCheckpoint(response.GetState())
		if err != nil {
			events = []fleet.Event{fleet.NewEvent(fleet.EventSkipped, "state of a peer", err.Error())}
		} else {
			events = r.adopt(state, "a peer")
		}
	}
	for _, entry := range response.GetEntries() {
		events = append(events, r.applyRecord(entry.GetOffset(), entry.GetPayload())...)
	}
	if r.recovery != nil && r.State().NextOffset() >= r.recovery.oldest {
		r.recovery = nil
	}
	r.mu.Unlock()
	r.record(events)
}
