package forwarder

import (
	"context"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/retrier"
)

const (
	// maxDeadlineRefusals bounds the refusals because the time left is too short: one slow
	// backend server may need more time than the others, two are unlikely to.
	maxDeadlineRefusals = 2
	// maxEnding bounds the no-wait attempts at stopping owners; each costs a message.
	maxEnding = 6
	// maxFailing is the number of refusals by failing backend servers after which a
	// submission makes forced attempts.
	maxFailing = 6
	// maxSearchAttempts bounds the attempts in one search for a slot. Those that owners decline do not count.
	maxSearchAttempts = 8
	// maxBudgetRefusals bounds the owners whose retry budgets are tried for a retry. Three
	// random owners hold a good part of the fleet's remaining budget; each costs a message.
	maxBudgetRefusals = 3
)

// try makes attempts until one is answered or no further one is allowed.
func (f *Forwarder) try(ctx context.Context, s *submission) *result {
	s.uncounted = !f.retrier.Begin(s.service)
	state := &attemptState{}
	var last *result
	for number := 1; ; number++ {
		state.candidates = f.directory.Backends(s.service)
		backend, mode, found := f.selectBackend(s, state)
		if !found {
			if f.findSlot(ctx, s, state, last, number) {
				continue
			}
			return state.bestResult(state.failureToReport(f.noBackendResult(s, last)))
		}
		s.lastAttempt = !f.allowsAnother(s, state, number-state.declined())
		s.succession = f.succession(s, state, backend, number)
		last = f.attempt(ctx, s, backend, number, mode)
		s.trace = append(s.trace, last.describe(backend, mode))
		number += len(last.hedges)
		backend, last = f.settleHedges(s, state, backend, last)
		if last.answered() && !f.replaceable(s, last) {
			return state.replaceErrorAnswer(last)
		}
		s.recordAttempt(f.directory, last)
		state.recordAttempt(backend, last)
		f.recordRefusal(s, backend, last)
		if !f.mayGoOn(ctx, s, state, number, last) {
			if f.findSlot(ctx, s, state, last, number) {
				continue
			}
			return state.bestResult(state.failureToReport(last))
		}
		if s.retryCost > 0 {
			state.recordRetryCause(last)
		}
		state.keepErrorAnswer(last)
	}
}

// mayGoOn reports whether another attempt follows the last one, which has this number.
func (f *Forwarder) mayGoOn(ctx context.Context, s *submission, state *attemptState, number int, last *result) bool {
	counted := number - state.declined()
	if state.displaced && last.outcome.Executed == fleet.ExecutedUnknown {
		counted = state.ran // no refusal before uses up an attempt that a planned stop has ended
	}
	switch {
	case s.hasLostOwners(f.directory, last):
		return false
	case last.successor != nil:
		return f.follow(ctx, s, counted, last)
	case state.deadlineRefusals >= maxDeadlineRefusals || state.budgetRefusals >= maxBudgetRefusals:
		return false
	case state.isRefusedInSearch(last):
		return counted < maxSearchAttempts && ctx.Err() == nil
	default:
		return f.prepareRetry(ctx, s, counted, state.ran, last)
	}
}

// recordRefusal records that a backend server is failing or leaves, by its owner's word.
func (f *Forwarder) recordRefusal(s *submission, backend fleet.Backend, r *result) {
	switch {
	case r.outcome.Reason == fleet.ReasonFailing:
		f.breaker.RecordFailing(backend.ID)
	case r.leaving():
		f.breaker.RecordLeaving(backend.ID, s.idempotent)
	}
}

// allowsAnother reports whether another attempt would be allowed if the next one, with this
// number, ran and its answer were lost.
func (f *Forwarder) allowsAnother(s *submission, state *attemptState, number int) bool {
	return state.hasUntried(2) && f.retrier.Allows(retrier.Attempt{
		Service:    s.service,
		Number:     number,
		Runs:       state.ran + 1,
		MaxRuns:    s.maxRuns,
		Reached:    true,
		Outcome:    fleet.Outcome{Executed: fleet.ExecutedUnknown, Reason: fleet.ReasonStalled},
		Idempotent: s.idempotent,
		Remaining:  s.deadline.Sub(f.clock.Now()),
	})
}

// allowsNoWait reports whether the next attempt may be a no-wait attempt. Large bodies
// are not sent in no-wait attempts.
func (f *Forwarder) allowsNoWait(s *submission, state *attemptState) bool {
	return len(state.full) < f.maxNoWaitAttempts && len(state.ending) < maxEnding && len(s.content.Bytes()) <= maxNoWaitBody
}

// selection is a way to select a backend server.
type selection struct {
	excluded []fleet.BackendID
	mode     attemptMode
}

// selectBackend picks the next backend server and the mode of the attempt. A backend server at which a slot is
// reserved goes before all others.
func (f *Forwarder) selectBackend(s *submission, state *attemptState) (fleet.Backend, attemptMode, bool) {
	if state.successor != nil {
		return state.successor.backend, queued, true
	}
	for _, way := range f.selections(s, state) {
		if backend, found := f.picker.Pick(s.service, state.candidates, way.excluded, s.idempotent); found {
			return backend, way.mode, true
		}
	}
	return fleet.Backend{}, forced, false
}

// selections returns the ways to select a backend server, in order of preference: without a wait for a slot; then with
// one, last of all where the node stops; then a failing one; then one whose owner is unreachable. Once a stopping
// owner has refused the request, it waits first at one that was full: that node is known to run on.
func (f *Forwarder) selections(s *submission, state *attemptState) []selection {
	unreachable, failing := f.unavailable(s, state)
	tried := slices.Concat(state.tried, state.leaving)
	insistent := []selection{
		{slices.Concat(tried, unreachable), forced},
		{tried, forced},
	}
	if len(state.failing) >= maxFailing {
		return insistent
	}
	unavailable := slices.Concat(tried, state.failing, failing, unreachable)
	var ways []selection
	if f.allowsNoWait(s, state) {
		ways = append(ways, selection{slices.Concat(unavailable, state.full, state.ending), noWait})
	}
	if s.idempotent && state.waitsWhereFull() {
		ways = append(ways, selection{slices.Concat(unavailable, state.notFull()), queued})
	}
	return slices.Concat(ways, []selection{
		{slices.Concat(unavailable, state.ending), queued},
		{unavailable, queued},
		{slices.Concat(tried, state.failing, unreachable), queued},
	}, insistent)
}

// unavailable returns the backend servers behind unreachable owners and those that are failing or
// leave.
func (f *Forwarder) unavailable(s *submission, state *attemptState) (unreachable, failing []fleet.BackendID) {
	unreachable, failing = f.breaker.Unavailable(state.candidates)
	failing = append(failing, f.breaker.Leaving(state.candidates, s.idempotent)...)
	return append(unreachable, f.behindSuspectOwners(state.candidates)...), failing
}

// replaceable reports whether an answer is an error that another backend server's answer
// may replace.
func (f *Forwarder) replaceable(s *submission, r *result) bool {
	return f.repeatErrors && s.idempotent && r.failed()
}

// recordAttempt updates the submission after a failed attempt.
func (s *submission) recordAttempt(directory Directory, last *result) {
	s.stage.finish(last.outcome.Executed)
	s.uncounted = s.uncounted && last.declined()
	if wait := last.outcome.RetryAfter; wait > 0 && (s.retryAfter == 0 || wait < s.retryAfter) {
		s.retryAfter = wait
	}
	if last.lost != nil {
		s.lost = append(s.lost, *last.lost)
	}
	s.hasLostOwners(directory, last)
}

// noBackendResult returns the result when no backend server is left to try.
func (f *Forwarder) noBackendResult(s *submission, last *result) *result {
	if last != nil {
		return last
	}
	return refused(fleet.ReasonNoBackend, "service "+string(s.service)+" has no backend server that takes work")
}

// prepareRetry requests a retry and waits until it is due. An attempt after a declined
// one is not counted as a retry.
func (f *Forwarder) prepareRetry(ctx context.Context, s *submission, number, ran int, last *result) bool {
	switch {
	case last.declined():
		return ctx.Err() == nil
	case last.reached || last.outcome.Executed != fleet.ExecutedNo:
		s.retryCost = 0
	}
	decision := f.retrier.Decide(retrier.Attempt{
		Service:    s.service,
		Number:     number,
		Runs:       ran,
		MaxRuns:    s.maxRuns,
		Reached:    last.reached || last.outcome.Executed != fleet.ExecutedNo,
		Failed:     last.answered(),
		Took:       last.took,
		Outcome:    last.outcome,
		Charged:    s.charged,
		Idempotent: s.idempotent,
		Remaining:  s.deadline.Sub(f.clock.Now()),
	})
	if !decision.Retry {
		if decision.Reason == fleet.ReasonBudget {
			f.recorder.Record(fleet.NewEvent(fleet.EventRetry, string(s.id), string(decision.Reason),
				fleet.Figure{Name: "attempt", Value: float64(number)},
				fleet.Figure{Name: "budget", Value: f.retrier.Remaining(s.service)},
			).WithService(s.service))
		}
		return false
	}
	s.charged, s.retryCost = false, max(s.retryCost, decision.RetryCost)
	f.recorder.Record(fleet.NewEvent(fleet.EventRetry, string(s.id), string(last.outcome.Reason),
		fleet.Figure{Name: "attempt", Value: float64(number)},
		fleet.Figure{Name: "owed", Value: s.retryCost},
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
