package dispatcher

import (
	"context"
	"strings"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/poisoner"
)

// trialPrefix starts keys that stand for the trial run of a suspect.
const trialPrefix = "trial~"

// TrialKey returns the key by which the node that reported a crash is asked for the
// trial run of an identity.
func TrialKey(identity string) string { return trialPrefix + identity }

// trialIdentity returns the identity of a trial key.
func trialIdentity(service, key string) (string, bool) {
	if service != "" {
		return "", false
	}
	return strings.CutPrefix(key, trialPrefix)
}

// suspicion says why a call must not be dispatched for what its identity did before.
func (d *Dispatcher) suspicion(c call) fleet.Reason {
	standing, _ := d.poisoner.Standing(c.identity)
	switch {
	case standing == poisoner.Poison:
		return fleet.ReasonPoison
	case standing == poisoner.Suspect && !c.trial:
		return fleet.ReasonSuspect
	default:
		return ""
	}
}

// clear forgets a suspect that ran to its end, here and at the other nodes.
func (d *Dispatcher) clear(identity string) {
	if !d.poisoner.Clear(identity) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	d.suspects.Clear(ctx, identity)
}
