package daemon

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/monitor"
)

// lastLimitReserve is the time between the latest limit and the end of the node: connections are closed in it.
const lastLimitReserve = 50 * time.Millisecond

// limit is when a shutdown stops waiting, except for requests at which backend servers are at work. A stall
// of the process moves it towards the end of the node: what arrived meanwhile is still refused, and the departure
// announced, in the time that is left.
type limit struct {
	clock   clockwork.Clock
	monitor *monitor.Monitor
	// usual is the limit without a stall, latest that after any stall.
	usual, latest time.Time
}

// newLimit returns the limit of a shutdown whose signal came at a time, given its limit without a stall and when the
// node ends.
func newLimit(clock clockwork.Clock, signalled, usual, end time.Time) *limit {
	return &limit{
		clock:   clock,
		monitor: monitor.New(signalled, monitor.WithClock(clock)),
		usual:   usual,
		latest:  end.Add(-lastLimitReserve),
	}
}

// at returns the limit. After a stall refusals and the announcement have their whole times, as far as the node's end
// allows.
func (l *limit) at() time.Time {
	resumed, stalled := l.monitor.Resumed()
	needed := resumed.Add(refusalTime + departureTime)
	if !stalled || needed.Before(l.usual) || l.latest.Before(l.usual) {
		return l.usual
	}
	if needed.After(l.latest) {
		return l.latest
	}
	return needed
}

// left returns the time until the limit.
func (l *limit) left() time.Duration { return l.at().Sub(l.clock.Now()) }

// refusal returns how long new requests are refused: the whole time, or its share of what is left for it and for the
// announcement of the departure. What is left is bounded before the product, which overflows above 18 s otherwise.
func (l *limit) refusal() time.Duration {
	left := max(0, min(l.left(), refusalTime+departureTime))
	return left * refusalTime / (refusalTime + departureTime)
}

// stalledSince reports whether a stall has ended after a time.
func (l *limit) stalledSince(since time.Time) bool {
	resumed, stalled := l.monitor.Resumed()
	return stalled && resumed.After(since)
}

// moved reports whether a stall has moved the limit, and connections may still be closed behind it.
func (l *limit) moved() bool {
	at := l.at()
	return at.After(l.usual) && l.clock.Now().Before(at.Add(closeTime))
}

// closing returns a context for the closing of connections.
func (l *limit) closing(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, max(l.left(), closeTime))
}

// context returns a context that is done at the limit. Stalls are looked for until it is cancelled, also behind the limit: a
// time without checks would count as one.
func (l *limit) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	watched, stop := context.WithCancel(context.Background())
	go l.monitor.Run(watched)
	go func() {
		for left := l.left(); left > 0 && ctx.Err() == nil; left = l.left() {
			wait(ctx, l.clock, left)
		}
		cancel(context.DeadlineExceeded)
	}()
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// refuse refuses new requests until callers have gone elsewhere. It returns the time since which stalls are to be
// looked for by refuseAfterStall.
func (d *Daemon) refuse(ctx context.Context, l *limit) (since time.Time) {
	began := d.clock.Now()
	d.wait(ctx, l.refusal())
	return d.refuseAfterStall(ctx, l, began)
}

// refuseAfterStall waits while requests are refused that arrived in a stall of the process since a time: those that
// are not read before their connections close would have an unknown outcome. Behind the limit, ctx is that of the end of
// the node. It returns the time since which the next call is to look for stalls, so that none between two calls is passed over.
func (d *Daemon) refuseAfterStall(ctx context.Context, l *limit, since time.Time) time.Time {
	for l.stalledSince(since) {
		since = d.clock.Now()
		d.wait(ctx, l.refusal())
	}
	return since
}
