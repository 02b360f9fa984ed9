package forwarder

import (
	"cowsliptally.example/cowsliptally/fleet"
)

// class returns the class of a result for the health evaluation of the backend server and
// the path to it.
func (r *result) class() fleet.Class {
	switch {
	case r.failed():
		return fleet.ClassError
	case r.answered():
		return fleet.ClassOK
	}
	switch r.outcome.Reason {
	case fleet.ReasonConnect, fleet.ReasonCrash:
		return fleet.ClassUnreachable
	case fleet.ReasonBroken:
		return fleet.ClassBroken
	case fleet.ReasonDeadline, fleet.ReasonStalled:
		return fleet.ClassTimeout
	case fleet.ReasonCancelled, fleet.ReasonStopped:
		return fleet.ClassCancelled
	default:
		return fleet.ClassRefused
	}
}
