package forwarder

import (
	"context"
	"net/http"
	"time"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/poisoner"
)

const (
	// trialSpacing is the time between two looks at a suspect that waits for its trial run.
	trialSpacing = 20 * time.Millisecond
	// trialBound bounds a trial run from when it was asked for.
	trialBound = poisoner.TrialDuration - 5*time.Second
)

// admitSuspect lets clean requests through and refuses poison. A suspect waits until
// it is cleared or until it is permitted to be the one trial run.
func (f *Forwarder) admitSuspect(ctx context.Context, s *submission) *result {
	for {
		standing, crash := f.poisoner.Standing(s.identity)
		switch standing {
		case poisoner.Clean:
			return nil
		case poisoner.Poison:
			return refused(fleet.ReasonPoison, "this request crashed two backend servers")
		}
		asked := f.clock.Now()
		if f.askTrial(ctx, s, crash.Reporter) {
			s.trialNode = crash.Reporter
			s.deadline = earlier(s.deadline, asked.Add(trialBound))
			return nil
		}
		if !f.wait(ctx, trialSpacing) {
			return refused(fleet.ReasonSuspect, "this request was running on a backend server that crashed")
		}
	}
}

// askTrial asks the node that reported the crash for the trial run.
func (f *Forwarder) askTrial(ctx context.Context, s *submission, reporter fleet.NodeID) bool {
	if reporter == f.node {
		return f.poisoner.Try(f.node, s.identity)
	}
	member, found := f.directory.Member(reporter)
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	granted, _, err := f.peers.grant(ctx, member.PeerAddress, "", dispatcher.TrialKey(s.identity), s.holder)
	return err == nil && granted
}

// learnSuspect notes the crash for which an owner holds a request suspect.
func (f *Forwarder) learnSuspect(s *submission, header http.Header) {
	reporter, backend := header.Get(fleet.HeaderReporter), header.Get(fleet.HeaderCrashed)
	if reporter != "" && backend != "" {
		f.poisoner.Crash(fleet.NodeID(reporter), fleet.BackendID(backend), []string{s.identity})
	}
}

// endTrial gives the permission back.
func (f *Forwarder) endTrial(s *submission) {
	if s.trialNode == "" {
		return
	}
	if s.trialNode == f.node {
		f.poisoner.EndTrial(s.identity)
		return
	}
	member, found := f.directory.Member(s.trialNode)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sealTimeout)
	defer cancel()
	// A permission that is not given back ends by itself.
	_ = f.peers.release(ctx, member.PeerAddress, "", dispatcher.TrialKey(s.identity), s.holder)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
