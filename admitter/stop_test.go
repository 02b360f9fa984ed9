package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/fleet"
)

// stopping is an admitter with four slots whose node ends in five seconds, and which knows three
// kinds of requests: "short" ones take 100 ms, "mixed" ones the same and rarely 6 s, "long" ones 3 s.
type stopping struct {
	*admitter.Admitter
	is   *is.I
	now  time.Time
	last admitter.ID
}

func newStopping(t *testing.T) *stopping {
	s := &stopping{Admitter: admitter.New(4), is: is.New(t), now: time.Unix(1000, 0)}
	for i := range 150 {
		for kind, took := range map[fleet.RequestKind]time.Duration{"short": 100 * time.Millisecond, "mixed": 100 * time.Millisecond, "long": 3 * time.Second} {
			if kind == "mixed" && i == 0 {
				took = 6 * time.Second
			}
			s.is.Equal(s.arrive(kind, true).Action, admitter.Run)
			s.Done(s.last, kind, took, s.now)
		}
	}
	return s
}

// arrive returns the decision for a new request.
func (s *stopping) arrive(kind fleet.RequestKind, repeatable bool) admitter.Decision {
	s.last++
	decisions := s.Arrive(admitter.Request{ID: s.last, Kind: kind, Repeatable: repeatable, Weight: 1, Deadline: s.now.Add(time.Minute)}, s.now)
	return decisions[len(decisions)-1]
}

// stop tells that the node ends in 5.8 s, and that requests have to be done 0.8 s before.
func (s *stopping) stop() []admitter.Decision {
	return s.Stop(s.now.Add(5*time.Second), s.now.Add(5800*time.Millisecond), s.now)
}

func (s *stopping) refuses(kind fleet.RequestKind, repeatable bool) {
	d := s.arrive(kind, repeatable)
	s.is.Equal(d.Action, admitter.Refuse)
	s.is.Equal(d.Reason, fleet.ReasonDraining)
	s.is.Equal(d.RetryAfter, time.Duration(0)) // there will be no room here
}

func (s *stopping) runs(kind fleet.RequestKind, repeatable bool) admitter.ID {
	s.is.Equal(s.arrive(kind, repeatable).Action, admitter.Run)
	return s.last
}

// TestStoppingOwnerTakesWhatWillBeDone guards against requests that are cut when their owner's node
// ends, and against a backend server that is unused although it could serve short ones.
func TestStoppingOwnerTakesWhatWillBeDone(t *testing.T) {
	s := newStopping(t)
	s.stop()
	s.runs("short", false) // none has taken longer than is left
	s.runs("short", false)
	s.refuses("mixed", false) // it may be cut, and may not run again
	id := s.runs("mixed", true)
	s.runs("mixed", true)
	s.is.Equal(s.arrive("short", true).Action, admitter.Wait)
	s.Done(id, "mixed", 100*time.Millisecond, s.now)
	s.now = s.now.Add(1500 * time.Millisecond)
	s.refuses("long", true) // time for the longest is not left with a margin, nor for three times the usual
	s.now = s.now.Add(3450 * time.Millisecond)
	s.refuses("short", false)
	s.refuses("short", true)
}

// TestRetiringOwnerTakesOneAtATime guards against a node that never ends because its backend server
// always has new work, and against one whose backend server is unused until it does.
func TestRetiringOwnerTakesOneAtATime(t *testing.T) {
	s := newStopping(t)
	s.stop()
	var ids []admitter.ID
	for range 4 {
		ids = append(ids, s.runs("short", false))
	}
	s.is.Equal(s.arrive("short", false).Action, admitter.Wait)
	decisions := s.Retire(s.now)
	s.is.Equal(len(decisions), 1) // the queued one goes elsewhere
	s.is.Equal(decisions[0].Reason, fleet.ReasonDraining)
	s.refuses("short", true) // no slot is free
	for _, id := range ids {
		s.Done(id, "short", 100*time.Millisecond, s.now)
	}
	id := s.runs("short", false)
	s.refuses("short", true)
	s.Done(id, "short", 100*time.Millisecond, s.now)
	id = s.runs("mixed", true)
	s.Abandon(id, s.now)
	s.runs("short", true)
}

// TestLongRequestDoesNotKeepARetiringOwnerFromOthers guards against a backend server that is unused while its node waits for
// one long request.
func TestLongRequestDoesNotKeepARetiringOwnerFromOthers(t *testing.T) {
	s := newStopping(t)
	s.stop()
	s.Retire(s.now)
	long := s.runs("short", true)
	s.now = s.now.Add(299 * time.Millisecond)
	s.refuses("short", true)
	s.now = s.now.Add(time.Millisecond)
	id := s.runs("short", true)
	s.refuses("short", true)
	s.Done(long, "short", 300*time.Millisecond, s.now)
	s.refuses("short", true) // the second one is at work
	s.Done(id, "short", 100*time.Millisecond, s.now)
	s.runs("short", true)
}

// TestQueuedRequestsLeaveAStoppingOwner guards against requests that wait at an owner which will
// not run them before its node ends.
func TestQueuedRequestsLeaveAStoppingOwner(t *testing.T) {
	s := newStopping(t)
	for range 4 {
		s.runs("short", false)
	}
	s.is.Equal(s.arrive("mixed", false).Action, admitter.Wait)
	s.is.Equal(s.arrive("short", true).Action, admitter.Wait)
	decisions := s.stop()
	s.is.Equal(len(decisions), 1)
	s.is.Equal(decisions[0].ID, s.last-1)
	s.is.Equal(decisions[0].Reason, fleet.ReasonDraining)
}

// TestStoppingOwnerLeavesTimeForAnotherRun guards against a request that the end of its owner's node cuts when too
// little time is left for another run, though another owner had a slot when it came.
func TestStoppingOwnerLeavesTimeForAnotherRun(t *testing.T) {
	for name, tc := range map[string]struct {
		since, deadline    time.Duration
		repeatable, noWait bool
		reason             fleet.Reason
	}{
		"deadline before the end":      {500 * time.Millisecond, 5 * time.Second, true, true, ""},
		"little time after the end":    {1200 * time.Millisecond, 5 * time.Second, true, true, fleet.ReasonBusy},
		"no owner has a free slot":     {1200 * time.Millisecond, 5 * time.Second, true, false, ""},
		"deadline just behind the end": {900 * time.Millisecond, 4950 * time.Millisecond, true, true, fleet.ReasonBusy},
		"as much time after the end":   {2700 * time.Millisecond, 5 * time.Second, true, true, ""},
		"much time after the end":      {1200 * time.Millisecond, 10 * time.Second, true, true, ""},
		"must run once, time for each": {1200 * time.Millisecond, 5 * time.Second, false, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStopping(t)
			s.stop()
			s.now = s.now.Add(tc.since)
			s.last++
			decisions := s.Arrive(admitter.Request{
				ID: s.last, Kind: "short", Repeatable: tc.repeatable, NoWait: tc.noWait, Weight: 1, Deadline: s.now.Add(tc.deadline),
			}, s.now)
			s.is.Equal(decisions[len(decisions)-1].Reason, tc.reason)
		})
	}
}

// TestStoppingOwnerTriesKindsThatItDoesNotKnow guards against a backend server that is unused until its
// node ends, because that was told to stop before a request of the kind had ended.
func TestStoppingOwnerTriesKindsThatItDoesNotKnow(t *testing.T) {
	const (
		end    = 5 * time.Second
		target = 2 * time.Second
	)
	for name, tc := range map[string]struct {
		once             bool
		target, deadline time.Duration
		after            time.Duration
		tried            bool
		// fits is set if the request ends before the node does, so that nothing has to be known of its kind.
		fits bool
	}{
		"its target is before the end":   {target: target, deadline: time.Minute, tried: true},
		"its target is after the end":    {target: target, deadline: time.Minute, after: end - target},
		"its deadline is before the end": {deadline: target, tried: true, fits: true},
		"neither is":                     {deadline: time.Minute},
		"its target has passed":          {target: -target, deadline: time.Minute},
		"it must not run again":          {once: true, target: target, deadline: end + 1},
		"it ends first, must run once":   {once: true, target: target, deadline: end, tried: true, fits: true},
		"its target is just before":      {target: target, deadline: time.Minute, after: end - target - time.Millisecond, tried: true},
		"only its deadline is left":      {target: -target, deadline: target, tried: true, fits: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			a := admitter.New(4)
			a.Stop(now.Add(end), now.Add(end), now)
			now = now.Add(tc.after)
			arrive := func(id admitter.ID, kind fleet.RequestKind) bool {
				r := admitter.Request{ID: id, Kind: kind, Repeatable: !tc.once, Weight: 1, Deadline: now.Add(tc.deadline)}
				if tc.target != 0 {
					r.Target = now.Add(tc.target)
				}
				decisions := a.Arrive(r, now)
				return decisions[len(decisions)-1].Action == admitter.Run
			}
			is.Equal(arrive(1, "new"), tc.tried)
			if !tc.tried {
				return
			}
			is.Equal(arrive(2, "new"), tc.fits) // else one at a time tells how long they take
			is.True(arrive(3, "other"))         // it says nothing of other kinds
			a.Abandon(1, now)
			is.True(arrive(4, "new")) // the first one has told nothing
			a.Done(4, "new", 100*time.Millisecond, now)
			is.True(arrive(5, "new")) // there is time for what they take
			is.True(arrive(6, "new"))
		})
	}
}

// TestOneTrialWaitsAtAStoppingOwner guards against requests of a kind that nothing is known of which
// wait for a slot together, and are refused once the first of them has it.
func TestOneTrialWaitsAtAStoppingOwner(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := admitter.New(1)
	arrive := func(id admitter.ID, kind fleet.RequestKind) admitter.Decision {
		r := admitter.Request{ID: id, Kind: kind, Repeatable: true, Weight: 1, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)}
		return a.Arrive(r, now)[0]
	}
	is.Equal(arrive(1, "old").Action, admitter.Run)
	is.Equal(arrive(2, "new").Action, admitter.Wait)
	a.Stop(now.Add(5*time.Second), now.Add(5*time.Second), now)
	is.Equal(a.Waiting(), 1)
	d := arrive(4, "new")
	is.Equal(d.Action, admitter.Refuse)
	is.Equal(d.Reason, fleet.ReasonDraining)
	decisions := a.Done(1, "old", time.Millisecond, now)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].ID, admitter.ID(2))
	is.Equal(decisions[0].Action, admitter.Run)
}

// TestStoppingOwnerTakesWhatEndsBeforeItDoes guards against a request that a stopping owner refuses for want of time though
// its deadline, or the end of its ingress, comes before the end of the owner's node.
func TestStoppingOwnerTakesWhatEndsBeforeItDoes(t *testing.T) {
	const end = 4300 * time.Millisecond // from the arrival of the request
	for name, tc := range map[string]struct {
		kind       fleet.RequestKind
		repeatable bool
		left       time.Duration
		// abort is when its ingress aborts it; 0 if it does not.
		abort  time.Duration
		reason fleet.Reason
	}{
		"must run once":                    {"mixed", false, end, 0, ""},
		"must run once, ends later":        {"mixed", false, end + 1, 0, fleet.ReasonDraining},
		"must run once, unknown kind":      {"new", false, end, 0, ""},
		"less than three times its usual":  {"long", true, 3200 * time.Millisecond, 0, ""},
		"may run again, ends later":        {"long", true, time.Minute, 0, fleet.ReasonDraining},
		"its ingress ends first":           {"long", true, time.Minute, end, ""},
		"its ingress ends later":           {"long", true, time.Minute, end + 1, fleet.ReasonDraining},
		"less than its usual":              {"long", true, time.Minute, 2500 * time.Millisecond, ""},
		"may run again, ends with its due": {"long", true, 3500 * time.Millisecond, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStopping(t)
			s.stop()
			s.now = s.now.Add(1500 * time.Millisecond)
			s.last++
			r := admitter.Request{ID: s.last, Kind: tc.kind, Repeatable: tc.repeatable, Weight: 1, Deadline: s.now.Add(tc.left), NoWait: true}
			if tc.abort > 0 {
				r.Abort = s.now.Add(tc.abort)
			}
			decisions := s.Arrive(r, s.now)
			s.is.Equal(decisions[len(decisions)-1].Reason, tc.reason)
		})
	}
}

// TestEndOfAnIngressIsNoReasonToRefuse guards against a request that an owner with a free slot refuses, as it would usually take
// longer than its ingress has: most take less than the usual.
func TestEndOfAnIngressIsNoReasonToRefuse(t *testing.T) {
	s := newStopping(t)
	s.last++
	r := admitter.Request{ID: s.last, Kind: "long", Repeatable: true, Weight: 1, Deadline: s.now.Add(time.Minute), Abort: s.now.Add(time.Second)}
	s.is.Equal(s.Arrive(r, s.now), []admitter.Decision{{ID: r.ID, Action: admitter.Run}})
}

// TestOnlyRequestOfARetiringOwnerIsShort guards against a long request that takes the only slot from all short ones, as it ends
// before the node does.
func TestOnlyRequestOfARetiringOwnerIsShort(t *testing.T) {
	s := newStopping(t)
	s.stop()
	s.Retire(s.now)
	s.now = s.now.Add(1500 * time.Millisecond)
	for _, kind := range []fleet.RequestKind{"new", "mixed"} {
		s.last++
		decisions := s.Arrive(admitter.Request{ID: s.last, Kind: kind, Weight: 1, Deadline: s.now.Add(4 * time.Second)}, s.now)
		s.is.Equal(decisions[0].Reason, fleet.ReasonDraining)
	}
	s.runs("short", false)
}

// TestRequestThatEndsFirstWaitsAtAStoppingOwner guards against a queued request that leaves a stopping owner though its
// deadline comes before the end of the owner's node.
func TestRequestThatEndsFirstWaitsAtAStoppingOwner(t *testing.T) {
	s := newStopping(t)
	var ids []admitter.ID
	for range 4 {
		ids = append(ids, s.runs("short", false))
	}
	s.last++
	waiting := admitter.Request{ID: s.last, Kind: "mixed", Weight: 1, Deadline: s.now.Add(4 * time.Second)}
	s.is.Equal(s.Arrive(waiting, s.now)[0].Action, admitter.Wait)
	s.is.Equal(len(s.stop()), 0)
	s.is.Equal(s.Done(ids[0], "short", 100*time.Millisecond, s.now), []admitter.Decision{{ID: waiting.ID, Action: admitter.Run}})
}
