package daemon

import (
	"context"
	"time"
)

// stopTasksTime bounds the wait for background tasks, which end at once when they are told to.
const stopTasksTime = 200 * time.Millisecond

// Stop knows when the node was told to stop, and records what it waits for until it has
// stopped.
type Stop interface {
	SignalledAt() (at time.Time, signalled bool)
	WaitingFor(what string)
	// ExtendWhile has the process go on for as long as the grace period allows if atWork returns true
	// when it would end.
	ExtendWhile(atWork func() bool)
}

// noStop is a Stop that knows nothing.
type noStop struct{}

// SignalledAt returns false.
func (noStop) SignalledAt() (at time.Time, signalled bool) { return time.Time{}, false }

// WaitingFor does nothing.
func (noStop) WaitingFor(string) {}

// ExtendWhile does nothing.
func (noStop) ExtendWhile(func() bool) {}

// remaining returns what is left of a time that is counted from the arrival of the signal.
func (d *Daemon) remaining(duration time.Duration) time.Duration {
	at, signalled := d.stop.SignalledAt()
	if !signalled {
		return duration
	}
	return max(0, duration-d.clock.Since(at))
}

// stoppingSince returns when the signal arrived, or the present time if that is not known.
func (d *Daemon) stoppingSince() time.Time {
	if at, signalled := d.stop.SignalledAt(); signalled {
		return at
	}
	return d.clock.Now()
}

// waitFor records what the shutdown waits for until done is called, which logs how long.
func (d *Daemon) waitFor(what string) (done func()) {
	d.stop.WaitingFor(what)
	began := d.clock.Now()
	return func() {
		d.logger.Info("shutdown", "node", d.self.ID, "waited", what, "took", d.clock.Since(began).Round(time.Millisecond))
	}
}

// withdraw waits until the work that began before has ended, or a time, then takes the backend
// servers out of use and announces the departure.
func (d *Daemon) withdraw(ctx context.Context, latest time.Time) (left <-chan struct{}) {
	waited := d.waitFor("requests in flight, with backend servers in use")
	waiting, cancel := context.WithTimeout(ctx, latest.Sub(d.clock.Now()))
	defer cancel()
	_ = d.work.Wait(waiting) // what is left is waited for and logged by the caller
	waited()
	d.registrar.DrainAll()
	d.dispatcher.Drain()
	return d.leave(ctx)
}

// leave announces the departure to the fleet beside the other steps of the shutdown: peers that
// do not answer must not take the time of the requests in flight. It ends with ctx.
func (d *Daemon) leave(ctx context.Context) (left <-chan struct{}) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := d.prober.Leave(ctx); err != nil {
			d.logger.Warn("leave", "node", d.self.ID, "err", err)
		}
	}()
	return ended
}

// await waits until a channel is closed, or ctx is done.
func await(ctx context.Context, ended <-chan struct{}) {
	select {
	case <-ended:
	case <-ctx.Done():
	}
}
