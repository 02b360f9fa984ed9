package daemon

import (
	"context"
	"errors"
)

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
		{"spreader", d.spreader.Run},
		{"dispatcher", d.dispatcher.Run},
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
