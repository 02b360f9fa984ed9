package forwarder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/retrier"
)

const (
	// maxLostOwners bounds the owners that one submission may lose.
	maxLostOwners = 2
	// maxLate bounds the owners that may say that the time left is too short: one slow
	// backend server may expect more than the others, two do not.
	maxLate = 2
	// maxDoubted bounds the doubted backend servers that a submission passes over.
	maxDoubted = 6
	// maxBroke bounds the owners that are asked to pay for a retry. Three random ones hold
	// a good part of what is left in the fleet; each costs a message.
	maxBroke = 3
)

// try makes attempts until one is answered or no other is allowed.
func (f *Forwarder) try(ctx context.Context, s *submission) *result {
	f.retrier.Begin(s.service)
	t := &search{}
	var last *result
	for number := 1; ; number++ {
		t.candidates = f.directory.Backends(s.service)
		backend, approach, found := f.choose(s, t)
		if !found {
			return t.best(t.cause(f.without(s, last)))
		}
		last = f.attempt(ctx, s, backend, number, approach)
		s.trace = append(s.trace, last.describe(backend, approach))
		if last.answered() && !f.replaceable(s, last) {
			return t.better(last)
		}
		s.note(last)
		t.note(backend, last)
		if last.outcome.Reason == fleet.ReasonDoubt {
			f.avoider.Doubted(backend.ID)
		}
		if t.late >= maxLate || t.broke >= maxBroke || !f.again(ctx, s, number-t.looked(), t.ran, last) {
			return t.best(t.cause(last))
		}
		if s.owed > 0 {
			t.owe(last)
		}
		t.keep(last)
	}
}

// looks reports whether the next attempt only looks for a backend server that runs it
// at once. Large bodies are not sent to look.
func (f *Forwarder) looks(s *submission, t *search) bool {
	return len(t.full) < f.maxGlances && len(s.content.Bytes()) <= maxGlanceBody
}

// choose picks the next backend server and how to approach it: one that was not tried
// and on a path that did not fail of late; else one that was full, to wait for a slot;
// else one that is doubted; else one on a path that failed.
func (f *Forwarder) choose(s *submission, t *search) (fleet.Backend, approach, bool) {
	avoided, doubted := f.avoider.Among(t.candidates)
	avoided = append(avoided, f.suspects(t.candidates)...)
	stages := []struct {
		excluded []fleet.BackendID
		approach approach
	}{
		{slices.Concat(t.tried, t.full, t.doubted, doubted, avoided), glance},
		{slices.Concat(t.tried, t.doubted, doubted, avoided), queue},
		{slices.Concat(t.tried, t.doubted, avoided), queue},
		{slices.Concat(t.tried, avoided), insist},
		{t.tried, insist},
	}
	if len(t.doubted) >= maxDoubted {
		stages = stages[3:]
	} else if !f.looks(s, t) {
		stages = stages[1:]
	}
	for _, stage := range stages {
		if backend, found := f.picker.Pick(s.service, t.candidates, stage.excluded, s.idempotent); found {
			return backend, stage.approach, true
		}
	}
	return fleet.Backend{}, insist, false
}

// replaceable reports whether an answer reports an error in whose place another backend
// server's answer may be given.
func (f *Forwarder) replaceable(s *submission, r *result) bool {
	return f.repeatErrors && s.idempotent && r.exchange.Response.StatusCode >= http.StatusInternalServerError
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

// again asks for a retry and waits until it is due. Looking elsewhere is no retry, nor is
// asking another owner to pay for one.
func (f *Forwarder) again(ctx context.Context, s *submission, number, ran int, last *result) bool {
	switch {
	case last.looked():
		return ctx.Err() == nil
	case last.reached || last.outcome.Executed != fleet.ExecutedNo:
		s.owed = 0
	}
	decision := f.retrier.Decide(retrier.Attempt{
		Service:    s.service,
		Number:     number,
		Ran:        ran,
		MaxRuns:    s.maxRuns,
		Reached:    last.reached || last.outcome.Executed != fleet.ExecutedNo,
		Failed:     last.answered(),
		Took:       last.took,
		Outcome:    last.outcome,
		Idempotent: s.idempotent,
		Remaining:  s.deadline.Sub(f.clock.Now()),
	})
	if !decision.Retry {
		if decision.Reason == fleet.ReasonBudget {
			f.recorder.Record(fleet.NewEvent(fleet.EventRetry, string(s.id), string(decision.Reason),
				fleet.Figure{Name: "attempt", Value: float64(number)},
				fleet.Figure{Name: "budget", Value: f.retrier.Left(s.service)},
			).WithService(s.service))
		}
		return false
	}
	s.owed = max(s.owed, decision.Owed)
	f.recorder.Record(fleet.NewEvent(fleet.EventRetry, string(s.id), string(last.outcome.Reason),
		fleet.Figure{Name: "attempt", Value: float64(number)},
		fleet.Figure{Name: "owed", Value: s.owed},
		fleet.Milliseconds("delay", decision.Delay),
	).WithService(s.service))
	return f.wait(ctx, decision.Delay)
}

func (f *Forwarder) wait(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-f.clock.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}
