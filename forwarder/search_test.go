package forwarder

import (
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

// TestCallerIsToldTheFailureNotWhoDidNotPay looks at full and doubted backend servers
// between a failure and the owners that do not pay for its retry.
func TestCallerIsToldTheFailureNotWhoDidNotPay(t *testing.T) {
	is := is.New(t)
	failure := unknown(fleet.ReasonBroken, "the answer ended early")
	full := &result{glanced: true, outcome: fleet.Outcome{Executed: fleet.ExecutedNo, Reason: fleet.ReasonBusy}}
	unpaid := refused(fleet.ReasonBudget, "")
	s := &search{}
	is.Equal(s.cause(unpaid), unpaid) // nothing failed before
	for _, last := range []*result{failure, full, refused(fleet.ReasonDoubt, ""), unpaid} {
		s.owe(last)
	}
	is.Equal(s.cause(unpaid), failure)
	is.Equal(s.cause(full), full)
}
