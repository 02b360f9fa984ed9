package forwarder

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/retrier"
)

// maxLostOwners bounds the owners that one submission may lose.
const maxLostOwners = 2

// try makes attempts until one is answered or no other is allowed.
func (f *Forwarder) try(ctx context.Context, s *submission) *result {
	f.retrier.Begin(s.service)
	var tried []fleet.BackendID
	var last *result
	for number := 1; ; number++ {
		backend, found := f.picker.Pick(s.service, f.directory.Backends(s.service), tried, s.idempotent)
		if !found {
			return f.without(s, last)
		}
		last = f.attempt(ctx, s, backend, number)
		if last.answered() {
			return last
		}
		s.note(last)
		if !last.blameless || last.outcome.Executed != fleet.ExecutedNo {
			tried = append(tried, backend.ID)
		}
		if !f.again(ctx, s, number, last) {
			return last
		}
	}
}

// note keeps what a failed attempt means for the whole submission. A request that lost
// two owners may have killed their VMs, which cannot report it, and is not sent to a third.
func (s *submission) note(last *result) {
	if last.outcome.Executed == fleet.ExecutedUnknown {
		s.mayHaveRun = true
	}
	if last.lostOwner {
		s.lostOwners++
	}
	if s.lostOwners >= maxLostOwners {
		last.outcome.Reason = fleet.ReasonLost
	}
}

// without is the result when no backend server is left to try.
func (f *Forwarder) without(s *submission, last *result) *result {
	if last != nil {
		return last
	}
	return refused(fleet.ReasonNoBackend, "service "+string(s.service)+" has no backend server that takes work")
}

// again asks for a retry and waits until it is due.
func (f *Forwarder) again(ctx context.Context, s *submission, number int, last *result) bool {
	decision := f.retrier.Decide(retrier.Attempt{
		Service:    s.service,
		Number:     number,
		Outcome:    last.outcome,
		Idempotent: s.idempotent,
		Remaining:  s.deadline.Sub(f.clock.Now()),
	})
	if !decision.Retry {
		if decision.Reason == fleet.ReasonBudget {
			f.recorder.Record(fleet.NewEvent(fleet.EventRetry, string(s.id), string(decision.Reason)).WithService(s.service))
		}
		return false
	}
	f.recorder.Record(fleet.NewEvent(fleet.EventRetry, string(s.id), string(last.outcome.Reason),
		fleet.Figure{Name: "attempt", Value: float64(number)},
		fleet.Figure{Name: "delay", Value: float64(decision.Delay) / float64(time.Millisecond), Unit: "ms"},
	).WithService(s.service))
	return f.wait(ctx, decision.Delay)
}

func (f *Forwarder) wait(ctx context.Context, delay time.Duration) bool {
	select {
	case <-f.clock.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}
