package enforcer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cowsliptally.example/cowsliptally/fleet"
)

// eventInterval bounds the number of events: one in this time, which counts the others.
const eventInterval = 10 * time.Second

// maxReturns bounds the concurrent calls that give back credit.
const maxReturns = 8

// report counts the changes since the last event.
type report struct {
	lost int
}

// Run follows the members, renews promises and gives back unused credit until ctx is done.
func (e *Enforcer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, duty := range []func(context.Context){e.Tick, e.ReturnUnused} {
		group.Go(func() error { return e.repeat(ctx, duty) })
	}
	return group.Wait()
}

func (e *Enforcer) repeat(ctx context.Context, duty func(context.Context)) error {
	ticker := e.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			duty(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Tick follows the members and renews the promises that are due.
func (e *Enforcer) Tick(ctx context.Context) {
	e.noticeFreeze()
	now := e.elapsed()
	e.ranker.Update(e.members.Members(), now)
	e.renewDue(ctx)
	e.allocator.Expire(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	for node, until := range e.skipped {
		if now > until {
			delete(e.skipped, node)
		}
	}
}

// ReturnUnused gives back credit whose lease is over, and that of requests that did not run.
func (e *Enforcer) ReturnUnused(context.Context) {
	var group errgroup.Group
	group.SetLimit(maxReturns)
	for _, organisation := range e.spender.Expire(e.elapsed()) {
		limit, _ := e.limit(organisation)
		if limit.Organisation == "" {
			e.spender.Collect(organisation, e.elapsed())
			continue
		}
		group.Go(func() error {
			e.ask(limit, 0)
			return nil
		})
	}
	_ = group.Wait()
}

// noticeFreeze forgets what this node granted if it was frozen: others have taken its place.
func (e *Enforcer) noticeFreeze() {
	now := e.elapsed()
	e.mu.Lock()
	gap := now - e.tickedAt
	e.tickedAt = max(e.tickedAt, now)
	e.mu.Unlock()
	if gap <= frozenTime {
		return
	}
	e.counters.restarts.Inc(1)
	e.allocator.Restart(now)
	e.recorder.Record(fleet.NewEvent(fleet.EventQuota, string(e.self), "restarted", fleet.Milliseconds("frozen", gap)))
}

// report records that a promise was lost, at most once in eventInterval.
func (e *Enforcer) report(lost bool, organisation fleet.Organisation, second fleet.NodeID) {
	if !lost {
		return
	}
	now := e.elapsed()
	e.mu.Lock()
	e.reported.lost++
	count := e.reported.lost
	due := e.recordedAt == 0 || now-e.recordedAt >= eventInterval
	if due {
		e.recordedAt, e.reported = now, report{}
	}
	e.mu.Unlock()
	if due {
		e.recorder.Record(fleet.NewEvent(fleet.EventQuota, string(organisation), "shared",
			fleet.Figure{Name: "count", Value: float64(count)}).WithDetail("no promise of " + string(second)))
	}
}
