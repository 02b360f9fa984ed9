package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/fleet"
)

// recovery plays callers whose deadline is shorter than the work of a slow spell.
type recovery struct {
	owners   int
	kinds    []fleet.RequestKind
	interval time.Duration
	deadline time.Duration
}

const (
	spellWork  = 2 * time.Second
	normalWork = 5 * time.Millisecond
	spellStart = 2 * time.Second
	spellEnd   = 12 * time.Second
	playEnd    = 42 * time.Second
)

// spellRun is a request in a slot.
type spellRun struct {
	owner int
	id    admitter.ID
	took  time.Duration
	end   time.Duration
	// late is set when its deadline ends it.
	late bool
}

// answered is a request that was answered before its deadline.
type answered struct {
	kind fleet.RequestKind
	at   time.Duration
}

// play returns the answered requests, the number sent after the spell, and the most slots of
// an owner in use during the spell. Requests go to the owners in turn, each kind once an
// interval at all owners together.
func (r recovery) play() (served []answered, sentAfter, slotsInSpell int) {
	start := time.Unix(1000, 0)
	owners := make([]*admitter.Admitter, r.owners)
	for i := range owners {
		owners[i] = admitter.New(4)
		for j, kind := range r.kinds {
			id := admitter.ID(1_000_000 + j)
			owners[i].Arrive(admitter.Request{ID: id, Kind: kind, Weight: 1, Deadline: start.Add(time.Minute)}, start)
			owners[i].Done(id, kind, spellWork, start.Add(spellStart))
		}
	}
	var running []spellRun
	kinds := map[admitter.ID]fleet.RequestKind{}
	deadlines := map[admitter.ID]time.Duration{}
	for at := spellStart; at < playEnd; at += 5 * time.Millisecond {
		now := start.Add(at)
		begin := func(owner int, decisions []admitter.Decision) {
			for _, d := range decisions {
				if d.Action != admitter.Run {
					continue
				}
				took := normalWork
				if at < spellEnd {
					took = spellWork
				}
				end := min(at+took, deadlines[d.ID])
				running = append(running, spellRun{owner: owner, id: d.ID, took: took, end: end, late: end < at+took})
			}
		}
		before := running
		running = nil
		for _, run := range before {
			switch {
			case run.end > at:
				running = append(running, run)
			case run.late:
				begin(run.owner, owners[run.owner].Abandon(run.id, now))
			default:
				begin(run.owner, owners[run.owner].Done(run.id, kinds[run.id], run.took, now))
				served = append(served, answered{kinds[run.id], at})
			}
		}
		if (at-spellStart)%r.interval != 0 {
			continue
		}
		for i, kind := range r.kinds {
			id := admitter.ID(len(kinds) + 1)
			owner := (int(id) + i) % r.owners
			kinds[id], deadlines[id] = kind, at+r.deadline
			if at >= spellEnd {
				sentAfter++
			}
			begin(owner, owners[owner].Arrive(admitter.Request{ID: id, Kind: kind, Weight: 1, Deadline: now.Add(r.deadline)}, now))
			if at < spellEnd {
				slotsInSpell = max(slotsInSpell, owners[owner].Running())
			}
		}
	}
	return served, sentAfter, slotsInSpell
}

// TestKindIsServedAgainAfterASlowSpell guards against a lasting outage: requests refused by
// the expected service time add no evidence, so the estimate of a spell stayed for good.
func TestKindIsServedAgainAfterASlowSpell(t *testing.T) {
	all := make([]fleet.RequestKind, 5)
	for i := range all {
		all[i] = fleet.RequestKind(fmt.Sprint("kind", i))
	}
	cases := map[string]recovery{
		"one kind":               {owners: 1, kinds: all[:1], interval: 200 * time.Millisecond, deadline: 1900 * time.Millisecond},
		"short deadlines":        {owners: 1, kinds: all[:1], interval: 200 * time.Millisecond, deadline: 300 * time.Millisecond},
		"all kinds":              {owners: 1, kinds: all, interval: 200 * time.Millisecond, deadline: 1000 * time.Millisecond},
		"three owners":           {owners: 3, kinds: all[:1], interval: 200 * time.Millisecond, deadline: 1900 * time.Millisecond},
		"each owner seldom used": {owners: 75, kinds: all[:1], interval: 135 * time.Millisecond, deadline: 1900 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			served, sent, slots := test.play()
			first := map[fleet.RequestKind]time.Duration{}
			for _, s := range served {
				if _, found := first[s.kind]; !found {
					first[s.kind] = s.at
				}
			}
			t.Logf("%d of %d served after the spell; %d slots in use during it; first answers %v", len(served), sent, slots, first)
			is.Equal(len(first), len(test.kinds))
			for _, at := range first {
				is.True(at <= spellEnd+2*time.Second)
			}
			is.True(slots <= 1)
			is.True(len(served)*100 >= sent*90)
		})
	}
}

// TestOnlyOneTrialRequestRunsAtATime guards against trial requests that fill the slots of a
// backend server that is still slow.
func TestOnlyOneTrialRequestRunsAtATime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := admitter.New(4)
	for id, kind := range []fleet.RequestKind{"read", "write"} {
		a.Arrive(admitter.Request{ID: admitter.ID(id + 1), Kind: kind, Deadline: now.Add(time.Minute)}, now)
		a.Done(admitter.ID(id+1), kind, spellWork, now)
	}
	arrive := func(id admitter.ID, kind fleet.RequestKind) admitter.Decision {
		return a.Arrive(admitter.Request{ID: id, Kind: kind, Deadline: now.Add(time.Second)}, now)[0]
	}
	is.Equal(arrive(3, "read").Action, admitter.Refuse) // the evidence is new
	now = now.Add(time.Second)
	is.Equal(arrive(4, "read").Action, admitter.Run)
	is.Equal(arrive(5, "read").Reason, fleet.ReasonDeadline)
	is.Equal(arrive(6, "write").Reason, fleet.ReasonDeadline)
	now = now.Add(time.Second)
	a.Abandon(4, now) // the trial request reached its deadline
	is.Equal(arrive(7, "write").Action, admitter.Run)
	a.Done(7, "write", normalWork, now.Add(normalWork))
	is.Equal(arrive(8, "write").Action, admitter.Run)
}

// TestRefusedTrialRequestAllowsTheNextOne guards against a kind that stays refused because a trial request found no free
// slot and counts as running.
func TestRefusedTrialRequestAllowsTheNextOne(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := admitter.New(1)
	a.Arrive(admitter.Request{ID: 1, Kind: "read", Deadline: now.Add(time.Minute)}, now)
	a.Done(1, "read", spellWork, now)
	now = now.Add(time.Second)
	a.Arrive(admitter.Request{ID: 2, Kind: "write", Deadline: now.Add(time.Minute)}, now)
	trial := func(id admitter.ID, noWait bool) admitter.Decision {
		return a.Arrive(admitter.Request{ID: id, Kind: "read", NoWait: noWait, Deadline: now.Add(time.Second)}, now)[0]
	}
	is.Equal(trial(3, true).Reason, fleet.ReasonBusy)
	a.Done(2, "write", normalWork, now)
	now = now.Add(time.Second)
	is.Equal(trial(4, false).Action, admitter.Run)
}
