package dispatcher

import (
	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
)

// refused is the outcome of a request that was not dispatched.
func refused(reason fleet.Reason) fleet.Outcome {
	return fleet.Outcome{Executed: fleet.ExecutedNo, Reason: reason}
}

// unknown is the outcome of a request that may have run.
func unknown(reason fleet.Reason) fleet.Outcome {
	return fleet.Outcome{Executed: fleet.ExecutedUnknown, Reason: reason}
}

// bodyReason returns the reason why a request body could not be buffered.
func bodyReason(err error) fleet.Reason {
	switch fault.KindOf[collector.Kind](err) {
	case collector.KindTooLarge:
		return fleet.ReasonTooLarge
	case collector.KindMemory:
		return fleet.ReasonMemory
	default:
		return fleet.ReasonCancelled
	}
}
