package dispatcher

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
)

// Run keeps the guard's view of the members until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := d.clock.NewTicker(watchSpacing)
	defer ticker.Stop()
	for {
		d.watch()
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return nil
		}
	}
}

// watch tells the guard which nodes are members.
func (d *Dispatcher) watch() {
	var nodes []fleet.NodeID
	for _, member := range d.members.Members() {
		if member.Lives() {
			nodes = append(nodes, member.ID)
		}
	}
	d.guard.Watch(nodes)
}
