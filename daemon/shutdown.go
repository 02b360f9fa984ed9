package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/pipeliner"
)

// refusalTime is how long a node that shuts down refuses new requests, so that callers
// go elsewhere before its connections close. It is not counted from the signal: after a stall of
// the process, requests that arrived meanwhile are read and refused in it. It is shorter if less time is left.
const refusalTime = 500 * time.Millisecond

// Requests in flight are aborted some time before the end of the shutdown: their callers still
// get an answer, and proof of non-execution if the request only waited, which takes one call to
// another node of 250 ms at most. The time is at most maxAnswerReserve, and 1/answerPart of a short
// shutdown. With 500 ms, requests at which backend servers were at work were given up before the last
// sixth of a grace period of 6 s; in a node with an extension they go on until LastAbort now.
const (
	maxAnswerReserve = 300 * time.Millisecond
	answerPart       = 8
)

// AbortAfter returns the time from the beginning of a shutdown of this length at which the
// requests in flight that only wait are aborted.
func AbortAfter(shutdown time.Duration) time.Duration {
	return shutdown - min(maxAnswerReserve, shutdown/answerPart)
}

// lastAnswerTime is the time before the end of the node at which the requests that are left are aborted. An
// answer is written in milliseconds, and the proof for a request that only waits by then may take a half of
// it.
const lastAnswerTime = 100 * time.Millisecond

// closeTime is the least time in which callers' connections are closed in order: an answer may have been
// written a moment before. The process goes on for 50 ms after a shutdown.
const closeTime = 40 * time.Millisecond

// leaveTime is the time before the first requests in flight are aborted at which the other nodes are told
// that the node leaves. They hear of it within 200 ms.
const leaveTime = 400 * time.Millisecond

// departureTime is how long a node that has told the others that it leaves still refuses their
// attempts: nine of ten nodes have heard of it by then. The outcome of an attempt that meets the
// close of its connection would be unknown.
const departureTime = 300 * time.Millisecond

// GracePeriod holds the times of a shutdown.
type GracePeriod struct {
	// Linger is the time from the signal in which new requests are still accepted.
	Linger time.Duration
	// Shutdown is the longest time from the signal until the node ends, except for requests at which
	// backend servers are at work.
	Shutdown time.Duration
	// Extension is the longest time after that in which the node goes on while attempts of other
	// nodes or requests of callers are at work.
	Extension time.Duration
}

// LastAbort returns when all requests in flight are aborted, given when those that only wait are, and when the
// node ends.
func (g GracePeriod) LastAbort(first, end time.Time) time.Time {
	last := end.Add(-lastAnswerTime)
	if g.Extension == 0 || last.Before(first) {
		return first
	}
	return last
}

// reportTime is the time before the end of the node at which the attempts still at work are logged: the
// process may be ended while it waits for them.
const reportTime = 50 * time.Millisecond

// gracePeriod returns the times in force.
func (d *Daemon) gracePeriod() GracePeriod {
	if d.grace == nil {
		return GracePeriod{Linger: d.set.Linger, Shutdown: d.set.Shutdown}
	}
	return d.grace()
}

// shutdown moves callers to other nodes and waits for requests in flight. The backend servers
// stay in use as long as other work keeps the node from ending: when many nodes stop at once,
// they would be missed.
func (d *Daemon) shutdown(s *servers) error {
	grace := d.gracePeriod()
	remaining := d.remaining(grace.Shutdown)
	longest := d.remaining(grace.Shutdown + grace.Extension)
	now := d.clock.Now()
	end := now.Add(longest)
	limit := newLimit(d.clock, d.stoppingSince(), now.Add(remaining), end)
	ctx, cancel := limit.context()
	defer cancel()
	extended, cancelExtended := context.WithTimeout(context.Background(), longest)
	defer cancelExtended()
	d.stop.ExtendWhile(func() bool { return limit.moved() || d.workLeft() })
	d.leaving.Store(true)
	d.logger.Info("stopping", "node", d.self.ID, "callers", d.forwarder.InFlight(), "work", d.work.Summary(), "within", remaining)
	abort := now.Add(AbortAfter(remaining))
	d.forwarder.DrainAt(d.stoppingSince().Add(grace.Linger))
	defer d.schedule(abort, grace.LastAbort(abort, end), end)()
	waited := d.waitFor("callers that go elsewhere")
	d.linger(ctx, grace)
	d.forwarder.Drain()
	d.work.Close(drainer.Pipelined)
	d.dispatcher.Retire()
	checked := d.refuse(ctx, limit)
	waited()
	left := d.withdraw(ctx, abort.Add(-leaveTime))
	told := d.clock.Now()
	defer d.waitFor("requests in flight and connections")()
	defer await(ctx, left)
	// net/http closes each connection behind its current answer once a server shuts down, so
	// the answers to pipelined requests must be written before.
	_ = d.work.Wait(ctx) // what is left is logged below
	defer d.closing.Store(false)
	d.finishLate(extended)
	err := errors.Join(
		d.finish(ctx, drainer.Requests, drainer.Pipelined, drainer.Offers),
		d.closeServers(ctx, extended, s, limit, checked, told))
	d.forwarder.Close()
	d.dispatcher.Close()
	if err == nil {
		return nil
	}
	return &Error{Operation: "finish requests in flight", Kind: KindShutdown, Err: err}
}

// closeServers closes callers' connections, waits for the attempts of other nodes, and closes theirs a while after they
// were told that this node leaves. Stalls were looked for up to the time checked; a later one has new requests refused
// for longer.
func (d *Daemon) closeServers(ctx, extended context.Context, s *servers, limit *limit, checked, told time.Time) error {
	checked = d.refuseAfterStall(extended, limit, checked)
	callers, cancelCallers := limit.closing(extended)
	defer cancelCallers()
	err := s.closeCallers(callers)
	attempts := d.attempts() > 0
	if attempts {
		err = errors.Join(err, d.finishAttempts(extended))
	}
	// The other nodes have been told that this one leaves by then: an attempt that meets the close
	// would have an unknown outcome.
	d.wait(ctx, min(departureTime-d.clock.Since(told), limit.left()-closeTime))
	if limit.stalledSince(checked) {
		d.refuseAfterStall(extended, limit, checked)
		callers, cancelCallers = limit.closing(extended)
		defer cancelCallers()
	}
	peers := callers
	if attempts {
		peers = extended
	}
	return errors.Join(err, s.closePeers(peers), s.callerListener.Wait(callers))
}

// finish waits for work of some kinds, and logs what is left when ctx is done.
func (d *Daemon) finish(ctx context.Context, kinds ...drainer.Kind) error {
	err := d.work.Wait(ctx, kinds...)
	if err != nil {
		d.logger.Warn("unfinished", "node", d.self.ID, "work", d.work.Summary())
	}
	return err
}

// finishLate waits for the callers' requests that go on after the first abort, and the pipelined ones behind
// them, at most until the node ends.
func (d *Daemon) finishLate(ctx context.Context) {
	d.work.Close(drainer.LateRequests)
	if d.lateRequests() == 0 {
		return
	}
	defer d.waitFor("callers' requests at work")()
	d.closing.Store(true)
	_ = d.work.Wait(ctx, drainer.LateRequests, drainer.Pipelined) // what is left is logged by the caller
}

// finishAttempts waits until no attempt of another node is at work, at most until the node ends. Its
// callers have left by then, so what is given up at the end would have been given up before.
func (d *Daemon) finishAttempts(ctx context.Context) error {
	defer d.waitFor("attempts of other nodes")()
	return d.finish(ctx, drainer.Attempts, drainer.LateAttempts)
}

// attempts returns the number of attempts in flight.
func (d *Daemon) attempts() int {
	return d.work.InFlight(drainer.Attempts) + d.work.InFlight(drainer.LateAttempts)
}

// lateRequests returns the number of callers' requests for which the shutdown is extended.
func (d *Daemon) lateRequests() int {
	return d.work.InFlight(drainer.LateRequests) + d.work.InFlight(drainer.Pipelined)
}

// workLeft reports whether backend servers may be at work, or the last answers are on their way, and everything
// else has ended or was aborted.
func (d *Daemon) workLeft() bool {
	return d.aborted.Load() && (d.attempts() > 0 || d.lateRequests() > 0 || d.closing.Load())
}

// schedule aborts callers' requests that only wait and hands back those of other nodes at a time, aborts all
// at another, and logs the attempts at work shortly before the end, unless stop is called before. The forwarder
// and the dispatcher know these times from the start.
func (d *Daemon) schedule(abort, last, end time.Time) (stop func()) {
	d.forwarder.Stop(d.stoppingSince(), last, end)
	d.dispatcher.Stop(abort, end)
	after := func(at time.Time, do func()) clockwork.Timer { return d.clock.AfterFunc(at.Sub(d.clock.Now()), do) }
	timers := []clockwork.Timer{
		after(abort, func() {
			d.logAbort("requests that wait")
			d.forwarder.AbortWaiting()
			d.dispatcher.HandBack(end)
			d.aborted.Store(true)
		}),
		after(last, func() {
			d.logAbort("all requests")
			d.forwarder.Abort()
		}),
		after(end.Add(-reportTime), d.dispatcher.RecordUnfinished),
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
	}
}

// logAbort logs which of the callers' requests are aborted, and the work in flight.
func (d *Daemon) logAbort(which string) {
	d.logger.Info("abort", "node", d.self.ID, "requests", which, "work", d.work.Summary(), "stopping", d.clock.Since(d.stoppingSince()).Round(time.Millisecond))
}

// linger keeps serving callers until a time after the signal. Each answer closes its connection, so
// that no caller sends a request over a connection that is about to be closed.
func (d *Daemon) linger(ctx context.Context, grace GracePeriod) {
	d.wait(ctx, d.remaining(grace.Linger))
}

// wait returns after a time, or when ctx is done.
func (d *Daemon) wait(ctx context.Context, duration time.Duration) { wait(ctx, d.clock, duration) }

// wait returns after a time by a clock, or when ctx is done.
func wait(ctx context.Context, clock clockwork.Clock, duration time.Duration) {
	timer := clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// closeWhenLeaving makes answers close their connections once the node leaves, except
// before requests that have been begun behind them.
func (d *Daemon) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() && !pipeliner.Pending(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
