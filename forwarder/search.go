package forwarder

import "cowsliptally.example/cowsliptally/fleet"

// search is the state of the attempts of one submission.
type search struct {
	candidates []fleet.Backend
	// tried holds backend servers that are not chosen again.
	tried []fleet.BackendID
	// full holds those that had no free slot; one of them is chosen to wait for.
	full []fleet.BackendID
	// doubted holds those that failed of late; they are used when no other is left.
	doubted []fleet.BackendID
	// ran is the number of attempts that ran or may have run.
	ran int
	// late is the number of owners that said that the time left is too short.
	late int
	// broke is the number of owners that did not pay for a retry.
	broke int
	// origin is the failure for whose retry others were asked to pay.
	origin *result
	// failed is an answer that reports an error, kept in case no better one comes.
	failed *result
}

// note keeps what a failed attempt means for the next ones.
func (t *search) note(backend fleet.Backend, last *result) {
	switch {
	case last.outcome.Reason == fleet.ReasonBudget:
		t.broke++
		t.tried = append(t.tried, backend.ID)
	case last.glanced:
		t.full = append(t.full, backend.ID)
	case last.outcome.Reason == fleet.ReasonDoubt:
		t.doubted = append(t.doubted, backend.ID)
	case !last.blameless || last.outcome.Executed != fleet.ExecutedNo:
		t.tried = append(t.tried, backend.ID)
	}
	if last.outcome.Executed != fleet.ExecutedNo {
		t.ran++
	} else if last.outcome.Reason == fleet.ReasonDeadline {
		t.late++
	}
}

// keep holds an answer that reports an error.
func (t *search) keep(r *result) {
	if !r.answered() {
		return
	}
	t.better(nil)
	t.failed = r
}

// better returns a result in place of the kept one.
func (t *search) better(r *result) *result {
	if t.failed != nil && t.failed != r {
		t.failed.close()
	}
	t.failed = nil
	return r
}

// best returns the kept answer, or the last result where there is none.
func (t *search) best(last *result) *result {
	if t.failed == nil || last.answered() {
		return t.better(last)
	}
	last.close()
	return t.failed
}

// looked returns the attempts that only looked, or asked for a payment in vain.
func (t *search) looked() int { return len(t.full) + len(t.doubted) + t.broke }

// owe keeps the failure for whose retry others are asked to pay.
func (t *search) owe(last *result) {
	if !last.looked() {
		t.origin = last
	}
}

// cause returns the failure to tell the caller: not that nobody paid, but what failed.
func (t *search) cause(last *result) *result {
	if last.outcome.Reason == fleet.ReasonBudget && t.origin != nil {
		return t.origin
	}
	return last
}
