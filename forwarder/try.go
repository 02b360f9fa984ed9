package forwarder

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/retrier"
)

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
		if last.outcome.Executed == fleet.ExecutedUnknown {
			s.mayHaveRun = true
		}
		if !last.blameless || last.outcome.Executed != fleet.ExecutedNo {
			tried = append(tried, backend.ID)
		}
		if !f.again(ctx, s, backend, number, last) {
			return last
		}
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
func (f *Forwarder) again(ctx context.Context, s *submission, backend fleet.Backend, number int, last *result) bool {
	decision := f.retrier.Decide(retrier.Attempt{
		Service:    s.service,
		Number:     number,
		Outcome:    last.outcome,
		Idempotent: s.idempotent,
		Remaining:  s.deadline.Sub(f.clock.Now()),
	})
	if !decision.Retry {
		if decision.Reason == fleet.ReasonBudget {
			f.recorder.Record(fleet.NewEvent(fleet.EventRetry, string(backend.ID), string(decision.Reason)).WithService(s.service))
		}
		return false
	}
	f.recorder.Record(fleet.NewEvent(fleet.EventRetry, string(backend.ID), string(last.outcome.Reason),
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
