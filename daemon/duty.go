package daemon

import (
	"context"
	"errors"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// guardInterval is the time between two looks of the guard at the membership.
const guardInterval = 500 * time.Millisecond

// duty is one lasting task with a goroutine of its own.
type duty struct {
	name string
	run  func(context.Context) error
}

func (d *Daemon) duties() []duty {
	return []duty{
		{"keeper", d.keeper.Run},
		{"reconciler", d.reconciler.Run},
		{"checkpointer", d.checkpointer.Run},
		{"registrar", d.registrar.Run},
		{"prober", d.prober.Run},
		{"ejector", d.ejector.Run},
		{"suspects", d.suspects.Run},
		{"guard", d.watchMembers},
	}
}

// startDuties starts every duty with a context of their own, which stop ends:
// the duties go on while requests in flight finish. A duty that ends on its own
// is sent on the channel.
func (d *Daemon) startDuties(ctx context.Context) (failed <-chan error, stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	duties := d.duties()
	ended := make(chan error, len(duties))
	done := make(chan struct{}, len(duties))
	for _, duty := range duties {
		go func() {
			defer func() { done <- struct{}{} }()
			err := duty.run(ctx)
			if ctx.Err() == nil {
				ended <- &Error{Operation: duty.name, Kind: KindDuty, Err: errors.Join(errors.New("ended on its own"), err)}
			}
		}()
	}
	return ended, func() {
		cancel()
		for range duties {
			<-done
		}
	}
}

// watchMembers keeps the guard informed of the nodes that may guard a key.
func (d *Daemon) watchMembers(ctx context.Context) error {
	ticker := d.clock.NewTicker(guardInterval)
	defer ticker.Stop()
	for {
		d.guard.Watch(d.aliveNodes())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

func (d *Daemon) aliveNodes() []fleet.NodeID {
	var nodes []fleet.NodeID
	for _, member := range d.roster.Members() {
		if member.State == fleet.MemberAlive || member.State == fleet.MemberSuspect {
			nodes = append(nodes, member.ID)
		}
	}
	return nodes
}
