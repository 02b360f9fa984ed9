package forwarder

import (
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/retrier"
)

// attemptState is the state of the attempts of one submission.
type attemptState struct {
	candidates []fleet.Backend
	// tried holds backend servers that are not selected again.
	tried []fleet.BackendID
	// leaving holds those whose node stops; they may be selected again after a hand-back.
	leaving []fleet.BackendID
	// full holds those that had no free slot and whose nodes are not known to end before the request does; they may be
	// selected again, to wait for a slot.
	full []fleet.BackendID
	// ending holds those that had none and whose nodes end first, where a run may be cut. They are selected again after
	// the others.
	ending []fleet.BackendID
	// failing holds those suspected failing; they are used when no other is left.
	failing []fleet.BackendID
	// ran is the number of attempts that ran or may have run, and ranAt where they did.
	ran   int
	ranAt []fleet.BackendID
	// displaced is set while the last attempt that may have run was ended by a planned stop, or the last one that
	// waited or may have run was given up for one that had a slot.
	displaced bool
	// passed is the number of attempts before the present search for a slot that do not count.
	passed int
	// deadlineRefusals is the number of owners that refused because the time left is too short.
	deadlineRefusals int
	// budgetRefusals is the number of owners whose retry budget did not cover a retry.
	budgetRefusals int
	// leavingRefusals is the number of owners that refused because they or their backend servers leave.
	leavingRefusals int
	// retryCause is the failure whose retry was to be charged to owners' retry budgets.
	retryCause *result
	// successor is the next attempt if a slot is reserved for it; nil if it is not.
	successor *successor
	// errorAnswer is an answer that reports an error, kept in case no better one follows.
	errorAnswer *result
}

// recordAttempt updates the state after a failed attempt.
func (a *attemptState) recordAttempt(backend fleet.Backend, last *result) {
	a.successor = last.successor
	switch {
	case last.leaving():
		a.leavingRefusals++
		a.leaving = append(a.leaving, backend.ID)
	case last.outcome.Reason == fleet.ReasonBudget:
		a.budgetRefusals++
		a.tried = append(a.tried, backend.ID)
	case last.noWaitRefused && last.ownerEndsFirst:
		a.ending = append(a.ending, backend.ID)
	case last.noWaitRefused:
		a.full = append(a.full, backend.ID)
	case last.outcome.Reason == fleet.ReasonFailing:
		a.failing = append(a.failing, backend.ID)
	case !last.notAttributed || last.outcome.Executed != fleet.ExecutedNo:
		a.tried = append(a.tried, backend.ID)
	}
	switch {
	case last.outcome.Executed != fleet.ExecutedNo:
		a.ran++
		a.ranAt = append(a.ranAt, backend.ID)
		a.displaced = last.outcome.Reason == fleet.ReasonStopped && !last.reached || last.successor != nil
	case last.successor != nil:
		a.displaced = true
	case last.outcome.Reason == fleet.ReasonDeadline:
		a.deadlineRefusals++
	}
	if last.outcome.Reason == fleet.ReasonStopped && !last.reached {
		// It ran or waited for a while: refusals from before say nothing of the owners that are left, and those
		// that stopped then may have started again.
		a.passed += len(a.full) + len(a.ending)
		a.deadlineRefusals, a.leaving, a.full, a.ending = 0, nil, nil, nil
	}
}

// isRefusedInSearch reports whether an owner refused the attempt that takes the place of one at work. The
// retry is charged already.
func (a *attemptState) isRefusedInSearch(last *result) bool {
	return a.displaced && !last.reached && last.outcome.Executed == fleet.ExecutedNo && retrier.Repeatable(last.outcome, true)
}

// searchAgain forgets the refusals, so that all backend servers are asked again at which none of the
// attempts, of which there were this many, may have run. They do not count as attempts.
func (a *attemptState) searchAgain(attempts int) {
	a.tried, a.full, a.ending, a.failing, a.leaving = slices.Clone(a.ranAt), nil, nil, nil, nil
	a.budgetRefusals, a.leavingRefusals = 0, 0
	a.passed = attempts - a.ran
}

// waitsWhereFull reports whether to wait at a backend server that was full before one that was not asked: a node that
// was asked stops, so others may as well. It does so once; two that are too slow would end the submission.
func (a *attemptState) waitsWhereFull() bool {
	return len(a.ending) > 0 && !slices.ContainsFunc(a.full, func(id fleet.BackendID) bool { return slices.Contains(a.tried, id) })
}

// notFull returns the candidates that were not asked for a free slot, or were but whose nodes stop.
func (a *attemptState) notFull() []fleet.BackendID {
	var ids []fleet.BackendID
	for _, candidate := range a.candidates {
		if !slices.Contains(a.full, candidate.ID) {
			ids = append(ids, candidate.ID)
		}
	}
	return ids
}

// hasUntried reports whether at least count candidates were not tried.
func (a *attemptState) hasUntried(count int) bool {
	for _, candidate := range a.candidates {
		if slices.Contains(a.tried, candidate.ID) {
			continue
		}
		if count--; count <= 0 {
			return true
		}
	}
	return false
}

// keepErrorAnswer stores an answer that reports an error and closes the previous one.
func (a *attemptState) keepErrorAnswer(r *result) {
	if !r.answered() {
		return
	}
	a.replaceErrorAnswer(nil)
	a.errorAnswer = r
}

// replaceErrorAnswer closes the kept answer and returns the result in its place.
func (a *attemptState) replaceErrorAnswer(r *result) *result {
	if a.errorAnswer != nil && a.errorAnswer != r {
		a.errorAnswer.close()
	}
	a.errorAnswer = nil
	return r
}

// bestResult returns the last result if it is an answer or none is kept, else the kept
// answer.
func (a *attemptState) bestResult(last *result) *result {
	if a.errorAnswer == nil || last.answered() {
		return a.replaceErrorAnswer(last)
	}
	last.close()
	return a.errorAnswer
}

// declined returns the number of attempts that do not count as retries: they were
// declined by full, failing or leaving backend servers, or by owners without retry budget.
func (a *attemptState) declined() int {
	return a.passed + len(a.full) + len(a.ending) + len(a.failing) + a.leavingRefusals + a.budgetRefusals
}

// recordRetryCause stores the failure whose retry is to be charged to an owner.
func (a *attemptState) recordRetryCause(last *result) {
	if !last.declined() {
		a.retryCause = last
	}
}

// failureToReport returns the failure to report to the caller: the original failure
// rather than the lack of retry budget.
func (a *attemptState) failureToReport(last *result) *result {
	if last.outcome.Reason == fleet.ReasonBudget && a.retryCause != nil {
		return a.retryCause
	}
	return last
}
