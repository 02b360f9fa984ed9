package forwarder

import (
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

// TestReportsFailureNotBudgetRefusal has refusals of full and failing backend servers
// between a failure and the owners whose retry budget does not cover its retry.
func TestReportsFailureNotBudgetRefusal(t *testing.T) {
	is := is.New(t)
	failure := unknown(fleet.ReasonBroken, "the answer ended early")
	full := &result{noWaitRefused: true, outcome: fleet.Outcome{Executed: fleet.ExecutedNo, Reason: fleet.ReasonBusy}}
	budgetRefused := refused(fleet.ReasonBudget, "")
	s := &attemptState{}
	is.Equal(s.failureToReport(budgetRefused), budgetRefused) // nothing failed before
	for _, last := range []*result{failure, full, refused(fleet.ReasonFailing, ""), budgetRefused} {
		s.recordRetryCause(last)
	}
	is.Equal(s.failureToReport(budgetRefused), failure)
	is.Equal(s.failureToReport(full), full)
}
