package dispatcher

import (
	"context"
	"math"
	"net/http"
	"strings"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/translator"
)

// trialPrefix is the prefix of keys for the trial request of a suspect.
const trialPrefix = "trial~"

// reportDelay is the longest time by which a node hears of a crash later than the node that permits the next
// trial request.
const reportDelay = time.Second

// TrialKey returns the key with which the permission for a trial request of an identity is requested from
// another node.
func TrialKey(identity string) string { return trialPrefix + identity }

// trialIdentity returns the identity of a trial key.
func trialIdentity(service, key string) (string, bool) {
	if service != "" {
		return "", false
	}
	return strings.CutPrefix(key, trialPrefix)
}

// grantTrial decides about the trial request of an identity for another node. An older node tells neither what it
// knows nor how long the request may take.
func (d *Dispatcher) grantTrial(identity string, r *cowsliptallyv1.GrantRequest) *cowsliptallyv1.GrantResponse {
	now := d.clock.Now()
	if told := r.GetRecord(); told != nil {
		d.quarantiner.Merge(translator.QuarantineRecordFromMessage(told, now))
	}
	lasting := quarantiner.TrialDuration
	if r.GetLastingMs() > 0 {
		lasting = time.Duration(r.GetLastingMs()) * time.Millisecond
	}
	permission := d.quarantiner.PermitTrial(identity, lasting)
	return &cowsliptallyv1.GrantResponse{
		Granted:      permission.Verdict == quarantiner.Permitted || permission.Verdict == quarantiner.Unneeded,
		Reason:       string(permission.Verdict),
		RetryAfterMs: uint32(min(permission.Wait.Milliseconds(), math.MaxUint32)),
		Record:       translator.QuarantineRecordToMessage(d.quarantiner.Record(identity), now),
	}
}

// suspectReason returns the reason why a call must not be dispatched because of earlier
// crashes of its identity, or the empty reason. A trial request that was permitted before the last crash
// was known is refused.
func (d *Dispatcher) suspectReason(c call) fleet.Reason {
	permission := d.quarantiner.Check(c.identity)
	switch {
	case permission.Verdict == quarantiner.Unneeded:
		return ""
	case c.trial && permission.Verdict != quarantiner.Exhausted && permission.Wait <= reportDelay:
		return ""
	case permission.Verdict == quarantiner.Permitted, permission.Verdict == quarantiner.Running:
		return fleet.ReasonSuspect
	default:
		return fleet.ReasonPoison
	}
}

// describeSuspect tells an older ingress of the first crash of a suspect, and to ask this node about a trial request:
// an older node decides only about crashes that it reported itself.
func (d *Dispatcher) describeSuspect(header http.Header, identity string) {
	record := d.quarantiner.Record(identity)
	if record.Status() != quarantiner.Suspect {
		return
	}
	header.Set(fleet.HeaderReporter, string(d.node))
	header.Set(fleet.HeaderCrashed, string(record.Pending()[0].Backend))
}

// clear removes a suspect that ran to its end, on this node and on the others.
func (d *Dispatcher) clear(identity string) {
	record, changed := d.quarantiner.Clear(identity)
	if !changed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	d.suspectReporter.ClearSuspect(ctx, record)
}
