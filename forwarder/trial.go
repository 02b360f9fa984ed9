package forwarder

import (
	"context"
	"net/http"
	"time"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/quarantiner"
)

const (
	// trialPollInterval is the interval at which the trial run of a suspect request is requested.
	trialPollInterval = 20 * time.Millisecond
	// maxTrialDuration bounds a trial run, from when it was requested.
	maxTrialDuration = quarantiner.TrialDuration - 5*time.Second
)

// admitSuspect admits clean requests and refuses poison requests. A suspect request waits
// until it is cleared or is granted the one trial run.
func (f *Forwarder) admitSuspect(ctx context.Context, s *submission) *result {
	for {
		status, crash := f.quarantiner.Status(s.identity)
		switch status {
		case quarantiner.Clean:
			return nil
		case quarantiner.Poison:
			return refused(fleet.ReasonPoison, "this request crashed two backend servers")
		}
		requested := f.clock.Now()
		if f.requestTrial(ctx, s, crash.Reporter) {
			s.trialNode = crash.Reporter
			s.deadline = earlier(s.deadline, requested.Add(maxTrialDuration))
			return nil
		}
		if !f.wait(ctx, trialPollInterval) {
			return refused(fleet.ReasonSuspect, "this request was running on a backend server that crashed")
		}
	}
}

// requestTrial requests the trial run from the node that reported the crash.
func (f *Forwarder) requestTrial(ctx context.Context, s *submission, reporter fleet.NodeID) bool {
	if reporter == f.node {
		return f.quarantiner.PermitTrial(f.node, s.identity)
	}
	member, found := f.directory.Member(reporter)
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	granted, _, err := f.peers.grant(ctx, member.PeerAddress, "", dispatcher.TrialKey(s.identity), s.holder)
	return err == nil && granted
}

// recordSuspect records the crash for which an owner considers a request suspect.
func (f *Forwarder) recordSuspect(s *submission, header http.Header) {
	reporter, backend := header.Get(fleet.HeaderReporter), header.Get(fleet.HeaderCrashed)
	if reporter != "" && backend != "" {
		f.quarantiner.RecordCrash(fleet.NodeID(reporter), fleet.BackendID(backend), []string{s.identity})
	}
}

// endTrial releases the permission for the trial run.
func (f *Forwarder) endTrial(s *submission) {
	if s.trialNode == "" {
		return
	}
	if s.trialNode == f.node {
		f.quarantiner.RevokeTrial(s.identity)
		return
	}
	member, found := f.directory.Member(s.trialNode)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.callTimeout())
	defer cancel()
	// A permission that is not released expires.
	_ = f.peers.release(ctx, member.PeerAddress, "", dispatcher.TrialKey(s.identity), s.holder)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
