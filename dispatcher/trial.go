package dispatcher

import (
	"context"
	"strings"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/quarantiner"
)

// trialPrefix is the prefix of keys for the trial request of a suspect.
const trialPrefix = "trial~"

// TrialKey returns the key with which the trial request of an identity is requested from
// the node that reported the crash.
func TrialKey(identity string) string { return trialPrefix + identity }

// trialIdentity returns the identity of a trial key.
func trialIdentity(service, key string) (string, bool) {
	if service != "" {
		return "", false
	}
	return strings.CutPrefix(key, trialPrefix)
}

// suspectReason returns the reason why a call must not be dispatched because of earlier
// crashes of its identity, or the empty reason.
func (d *Dispatcher) suspectReason(c call) fleet.Reason {
	status, _ := d.quarantiner.Status(c.identity)
	switch {
	case status == quarantiner.Poison:
		return fleet.ReasonPoison
	case status == quarantiner.Suspect && !c.trial:
		return fleet.ReasonSuspect
	default:
		return ""
	}
}

// clear removes a suspect that ran to its end, on this node and on the others.
func (d *Dispatcher) clear(identity string) {
	if !d.quarantiner.Clear(identity) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	d.suspectReporter.ClearSuspect(ctx, identity)
}
