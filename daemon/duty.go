package daemon

import (
	"context"
	"errors"

	"cowsliptally.example/cowsliptally/judge"
)

// duty is one lasting task with a goroutine of its own.
type duty struct {
	name string
	run  func(context.Context) error
}

func (d *Daemon) duties() []duty {
	duties := []duty{
		{"registrar", d.registrar.Run},
		{"prober", d.runProber},
		{"spreader", d.spreader.Run},
		{"dispatcher", d.dispatcher.Run},
	}
	if d.source != nil {
		duties = append(duties, duty{"adopter", d.adopter.Run})
		if !d.ownerJudges() {
			duties = append(duties, duty{"judge", d.runJudge})
		}
		return duties
	}
	return append(duties,
		duty{"keeper", d.keeper.Run},
		duty{"reconciler", d.reconciler.Run},
		duty{"checkpointer", d.checkpointer.Run},
		duty{"ejector", d.ejector.Run})
}

// runProber finds other nodes, where a directory tells of them, and joins the fleet.
func (d *Daemon) runProber(ctx context.Context) error {
	if d.discover != nil {
		addresses, err := d.discover(ctx)
		if err != nil {
			return err
		}
		d.prober.AddSeeds(addresses...)
	}
	return d.prober.Run(ctx)
}

// runJudge lets verdicts follow the time where no ejector does.
func (d *Daemon) runJudge(ctx context.Context) error {
	ticker := d.clock.NewTicker(judge.TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			for _, event := range d.judge.Tick(d.clock.Now()) {
				d.journal.Record(event)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
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
