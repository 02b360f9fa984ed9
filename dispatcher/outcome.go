package dispatcher

import (
	"errors"
	"os"

	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
)

// refused is the outcome of a request that was not dispatched.
func refused(reason fleet.Reason) fleet.Outcome {
	return fleet.Outcome{Executed: fleet.ExecutedNo, Reason: reason}
}

// outcomeOf returns the outcome of an admission decision; it has no reason if the request runs.
func outcomeOf(d admitter.Decision) fleet.Outcome {
	outcome := refused(d.Reason)
	outcome.RetryAfter = d.RetryAfter
	return outcome
}

// unknown is the outcome of a request that may have run.
func unknown(reason fleet.Reason) fleet.Outcome {
	return fleet.Outcome{Executed: fleet.ExecutedUnknown, Reason: reason}
}

// bodyReason returns the reason why a request body could not be buffered.
func bodyReason(err error) fleet.Reason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fleet.ReasonDeadline
	}
	switch fault.KindOf[collector.Kind](err) {
	case collector.KindTooLarge:
		return fleet.ReasonTooLarge
	case collector.KindMemory:
		return fleet.ReasonMemory
	default:
		return fleet.ReasonCancelled
	}
}
