package forwarder

import (
	"context"
	"net/http"
	"time"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/translator"
)

const (
	// trialPollInterval is the interval at which a waiting suspect request is checked: others tell when it is cleared.
	trialPollInterval = 20 * time.Millisecond
	// trialAskInterval is the interval at which its trial run is requested: nobody tells that another one was released.
	trialAskInterval = 100 * time.Millisecond
	// maxTrialDuration bounds a trial run, from when it was requested.
	maxTrialDuration = quarantiner.TrialDuration - 5*time.Second
	// maxDeciders bounds the nodes that are asked in one round; all but the first are asked only behind nodes
	// that do not answer, or that are of an older build.
	maxDeciders = 3
	// maxSuspectRounds bounds how often a request is sent again that owners refuse for crashes of which it was cleared.
	maxSuspectRounds = 3
	// undecidedRetryAfter is when a caller may come back where none of them answers: the membership has
	// replaced nodes that ended by then.
	undecidedRetryAfter = time.Second
)

// admitSuspect admits clean requests. A suspect request waits until it is cleared or gets the one trial run, and is
// refused at once when no trial run can be permitted now.
func (f *Forwarder) admitSuspect(ctx context.Context, s *submission) *result {
	var asked time.Time
	for {
		permission := f.quarantiner.Check(s.identity)
		if permission.Verdict == quarantiner.Unneeded {
			return nil
		}
		if now := f.clock.Now(); permission.Verdict == quarantiner.Permitted && now.Sub(asked) >= trialAskInterval {
			asked = now
			permission = f.requestTrial(ctx, s)
		}
		switch permission.Verdict {
		case quarantiner.Unneeded:
			return nil
		case quarantiner.Permitted:
			if s.trialNode != "" {
				return nil
			}
		case quarantiner.Paused, quarantiner.Exhausted:
			r := refused(fleet.ReasonPoison, "this request crashed backend servers, also when it ran alone")
			r.retryAfter = permission.Wait
			return r
		case undecided:
			r := refused(fleet.ReasonSuspect, "no node can be asked whether this request may run, which was running on a backend server that crashed")
			r.retryAfter = undecidedRetryAfter
			return r
		}
		if !f.wait(ctx, trialPollInterval) {
			return refused(fleet.ReasonSuspect, "this request was running on a backend server that crashed")
		}
	}
}

// undecided is the verdict where no node could be asked.
const undecided quarantiner.Verdict = "undecided"

// requestTrial requests the trial run from the first node that decides about it. A node that does not answer has
// ended, or is cut off: others may decide then, and the record bounds the runs that several nodes permit.
func (f *Forwarder) requestTrial(ctx context.Context, s *submission) quarantiner.Permission {
	asked := 0
	for _, decider := range quarantiner.Deciders(s.identity, f.directory.Members()) {
		if f.isLeftOut(decider.ID) {
			continue
		}
		if asked++; asked > maxDeciders {
			break
		}
		permission, decided := f.askDecider(ctx, s, decider)
		if !decided {
			continue
		}
		if permission.Verdict == quarantiner.Permitted {
			s.trialNode = decider.ID
		}
		return permission
	}
	f.recorder.Record(fleet.NewEvent(fleet.EventTrial, s.identity, string(undecided), fleet.Figure{Name: "asked", Value: float64(min(asked, maxDeciders))}))
	return quarantiner.Permission{Verdict: undecided}
}

// askDecider asks one node for the trial run. It reports whether that node has decided.
func (f *Forwarder) askDecider(ctx context.Context, s *submission, decider fleet.Member) (permission quarantiner.Permission, decided bool) {
	now := f.clock.Now()
	deadline := earlier(s.deadline, now.Add(maxTrialDuration))
	lasting := deadline.Add(DeadlineSlack).Sub(now)
	if decider.ID == f.node {
		permission = f.quarantiner.PermitTrial(s.identity, lasting)
	} else {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		answer, err := f.peers.grantTrial(ctx, decider.PeerAddress, &cowsliptallyv1.GrantRequest{
			Key:       dispatcher.TrialKey(s.identity),
			Request:   s.holder,
			Record:    translator.QuarantineRecordToMessage(f.quarantiner.Record(s.identity), now),
			LastingMs: uint32(max(1, lasting.Milliseconds())),
		})
		if err != nil {
			return permission, false
		}
		if answer.GetRecord() == nil {
			f.leaveOut(decider, s, answer.GetGranted())
			return permission, false
		}
		f.quarantiner.Merge(translator.QuarantineRecordFromMessage(answer.GetRecord(), f.clock.Now()))
		permission = quarantiner.Permission{
			Verdict: quarantiner.Verdict(answer.GetReason()),
			Wait:    time.Duration(answer.GetRetryAfterMs()) * time.Millisecond,
		}
	}
	if permission.Verdict == quarantiner.Permitted {
		s.deadline = deadline
		f.quarantiner.StartTrial(s.identity, lasting)
	}
	return permission, true
}

// leaveOut records that a node is of an older build, which decides by other rules and does not tell what it knows.
// What it granted is released. An upgraded node has a new identifier.
func (f *Forwarder) leaveOut(node fleet.Member, s *submission, granted bool) {
	f.notDeciding.Store(node.ID, struct{}{})
	if granted {
		f.releaseTrial(node, s)
	}
}

// isLeftOut reports whether a node is known to be of an older build.
func (f *Forwarder) isLeftOut(node fleet.NodeID) bool {
	_, found := f.notDeciding.Load(node)
	return found
}

// recordSuspect exchanges records with an owner that refused a request because of earlier crashes: it may know of a
// crash that this node missed, or have missed that the request was cleared. An older owner only tells of a crash.
func (f *Forwarder) recordSuspect(ctx context.Context, s *submission, owner fleet.NodeID, header http.Header) {
	if owner == f.node {
		return
	}
	if member, found := f.directory.Member(owner); found && isSuspected(fleet.Reason(header.Get(fleet.HeaderReason))) {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		record := translator.QuarantineRecordToMessage(f.quarantiner.Record(s.identity), f.clock.Now())
		told, err := f.peers.exchangeRecord(ctx, member.PeerAddress, record)
		if err == nil && len(told) > 0 {
			f.quarantiner.Merge(translator.QuarantineRecordsFromMessages(told, f.clock.Now())...)
			return
		}
	}
	crashed := header.Get(fleet.HeaderCrashed)
	if crashed != "" && f.quarantiner.Check(s.identity).Verdict == quarantiner.Unneeded {
		f.quarantiner.RecordReport(fleet.BackendID(crashed), []string{s.identity})
	}
}

// isSuspected reports whether an owner refused a request for earlier crashes.
func isSuspected(reason fleet.Reason) bool {
	return reason == fleet.ReasonSuspect || reason == fleet.ReasonPoison
}

// endTrial releases the permission for the trial run.
func (f *Forwarder) endTrial(s *submission) {
	if s.trialNode == "" {
		return
	}
	f.quarantiner.RevokeTrial(s.identity)
	if member, found := f.directory.Member(s.trialNode); found && s.trialNode != f.node {
		f.releaseTrial(member, s)
	}
}

// releaseTrial releases the permission that another node gave.
func (f *Forwarder) releaseTrial(node fleet.Member, s *submission) {
	ctx, cancel := context.WithTimeout(context.Background(), f.callTimeout())
	defer cancel()
	// A permission that is not released expires.
	_ = f.peers.release(ctx, node.PeerAddress, "", dispatcher.TrialKey(s.identity), s.holder)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
