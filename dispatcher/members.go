package dispatcher

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
)

// Run updates the deduplicator's members periodically until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := d.clock.NewTicker(memberInterval)
	defer ticker.Stop()
	for {
		d.updateMembers()
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return nil
		}
	}
}

// updateMembers passes the live members to the deduplicator.
func (d *Dispatcher) updateMembers() {
	var nodes []fleet.NodeID
	for _, member := range d.members.Members() {
		if member.IsLive() {
			nodes = append(nodes, member.ID)
		}
	}
	d.deduplicator.UpdateMembers(nodes)
}
