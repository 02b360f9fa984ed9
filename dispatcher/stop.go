package dispatcher

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/fleet"
)

// Declined returns the number of attempts that were refused because the node or their backend
// server leaves.
func (d *Dispatcher) Declined() int64 { return d.declined.Load() }

// Stop tells that the node stops and ends at a time. Until Drain, attempts are accepted that will
// most likely be done when they are due. The ingresses of all attempts in flight are told the end.
func (d *Dispatcher) Stop(due, end time.Time) {
	d.stopping.stop(end)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.due, d.end = due, end
	for _, g := range d.gates {
		g.stop(due, end)
	}
}

// Retire closes Attempts and Offers in the count of work in flight. Each backend server still
// gets one request at a time until Drain, which counts as a late attempt.
func (d *Dispatcher) Retire() {
	d.work.Close(drainer.Attempts, drainer.Offers)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retired = true
	for _, g := range d.gates {
		g.retire()
	}
}

// HandBack ends the attempts in flight that may run again elsewhere: their ingresses learn that the
// node stops. Those that end before the node does, which is at a time, go on.
func (d *Dispatcher) HandBack(end time.Time) {
	d.stopping.stop(end)
	d.handBack()
}

// withHandBack returns a context that ends when the attempt is handed back, and a function that
// releases it.
func (a *attempt) withHandBack(ctx context.Context) (_ context.Context, release func()) {
	ctx, end := context.WithCancelCause(ctx)
	a.keep = context.AfterFunc(a.dispatcher.handingBack, func() {
		if a.call.isHandedBack(a.dispatcher.clock.Now(), a.expectedEnd(), a.dispatcher.stopping.end()) {
			end(fleet.ErrStopped)
		}
	})
	return ctx, func() {
		a.keep()
		end(nil)
	}
}

// expectedEnd returns when the attempt is expected to end; zero if that is not known.
func (a *attempt) expectedEnd() time.Time {
	began, expected := a.began.Load(), a.gate.expected(a.call.kind)
	if began == nil || expected == 0 {
		return time.Time{}
	}
	return began.Add(expected)
}

// Drain refuses all new attempts; those in slots continue.
func (d *Dispatcher) Drain() {
	d.work.Close(drainer.Attempts, drainer.LateAttempts, drainer.Offers)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drained = true
	for _, g := range d.gates {
		g.close()
	}
}

// Shutdown drains and waits until the node has no work in flight of the kinds that it admits
// no more.
func (d *Dispatcher) Shutdown(ctx context.Context) error {
	d.Drain()
	defer d.Close()
	return d.work.Wait(ctx)
}

// Close closes the connections to backend servers that are not in use.
func (d *Dispatcher) Close() {
	d.pooler.Close()
	d.verifier.Close()
}

// enter counts an attempt, and returns as what.
func (d *Dispatcher) enter() (kind drainer.Kind, entered bool) {
	if d.work.Enter(drainer.Attempts) {
		return drainer.Attempts, true
	}
	return drainer.LateAttempts, d.work.Enter(drainer.LateAttempts)
}
