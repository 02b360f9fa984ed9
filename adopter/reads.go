package adopter

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// unreadAfter is the age of the newest answered read from which a node logs that nobody reads
	// the source. It is longer than the time in which such news reaches all nodes.
	unreadAfter = 10 * time.Second
	// unreadInterval is the time between two checks of that age.
	unreadInterval = time.Second
)

// LastRead returns the time of the newest answered read of the source by any node that this
// node knows of, or the zero time if it knows of none.
func (a *Adopter) LastRead() time.Time {
	own := a.source.LastAnswer()
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.peerRead.After(own) {
		return a.peerRead
	}
	return own
}

// RecordPeerRead records that another node knows of an answered read.
func (a *Adopter) RecordPeerRead(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.After(a.peerRead) {
		a.peerRead = at
	}
}

// watchReads records an event when no node is known to have read the source for unreadAfter,
// and when one has again.
func (a *Adopter) watchReads(ctx context.Context) {
	started := a.clock.Now()
	ticker := a.clock.NewTicker(unreadInterval)
	defer ticker.Stop()
	unread := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		last := a.LastRead()
		if last.IsZero() {
			last = started
		}
		age := a.clock.Since(last)
		if age >= unreadAfter == unread {
			continue
		}
		unread = !unread
		reason := "read again by a node"
		if unread {
			reason = "read by no node that this one knows of"
		}
		a.recorder.Record(fleet.NewEvent(fleet.EventLogService, "source", reason,
			fleet.Figure{Name: "agems", Value: float64(age.Milliseconds())}))
	}
}
