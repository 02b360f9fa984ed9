package arbiter_test

import (
	"fmt"
	"testing"
	"time"

	"cowsliptally.example/cowsliptally/arbiter"
)

const (
	// searchInterval is the time between two searches for a slot for a request whose attempt has ended.
	searchInterval = 200 * time.Millisecond
	// shortRun is the least time in which another run counts as possible.
	shortRun = 100 * time.Millisecond
)

// journey is a request whose owners stop one after another. Each run takes the same time.
type journey struct {
	ingressSignal time.Duration
	// ownerSignals are those of the owners in the order in which they are asked. The last one never stops.
	ownerSignals   [3]time.Duration
	work, deadline time.Duration
	// slotFrom and slotUntil are when the owners but the first have a free slot.
	slotFrom, slotUntil time.Duration
	// runs is the number of runs that the route allows.
	runs int
}

// run is a run at an owner.
type run struct {
	owner        int
	began, ended time.Duration
	// cut is set if the end of the owner's node ended it.
	cut bool
	// late is set if the owner's node had been told to stop when it began, while another owner has a slot from then on.
	late bool
}

func (j journey) nodeEnd(owner int) time.Duration { return j.ownerSignals[owner] + ownerLast }

// last returns when the ingress answers the caller itself.
func (j journey) last() time.Duration { return min(j.deadline, j.ingressSignal+ingressLast) }

func (j journey) hasSlot(now time.Duration) bool { return now >= j.slotFrom && now < j.slotUntil }

// attempt returns an attempt with this number that begins at an owner at a time, as somebody knows it later who
// takes a time for its deadline.
func (j journey) attempt(owner, number int, began, deadline, now time.Duration) arbiter.Attempt {
	a := arbiter.New(start.Add(began), start.Add(deadline))
	if number < j.runs {
		a = a.WithRepeatable(false)
	}
	if now >= j.ownerSignals[owner] {
		a = a.WithNodeEnd(start.Add(j.nodeEnd(owner)))
	}
	return a
}

// known returns until when the caller can be answered, as the ingress knows at a time.
func (j journey) known(now time.Duration) time.Duration {
	if now < j.ingressSignal {
		return j.deadline
	}
	return j.last()
}

// take returns the run at the first owner from one on that takes the request; nil if none does. Owners at which it is not
// worth beginning take it only if no other does.
func (j journey) take(from, number int, now time.Duration) *run {
	for _, worth := range []bool{true, false} {
		for owner := from; owner < len(j.ownerSignals); owner++ {
			a := j.attempt(owner, number, now, j.known(now), now)
			switch {
			case now >= j.nodeEnd(owner), owner > 0 && !j.hasSlot(now), worth && !a.IsWorthBeginning():
			case number < j.runs || a.IsWorthBeginning():
				return &run{owner: owner, began: now, late: a.Stopping() && j.hasSlot(now) && j.slotUntil == never}
			}
		}
	}
	return nil
}

// play returns the runs of the request and what its caller gets.
func (j journey) play() (runs []run, end told) {
	next := j.take(0, 1, 0)
	end = told{0, ended}
	for next != nil {
		r := *next
		next, end = j.playRun(&r, len(runs)+1)
		runs = append(runs, r)
	}
	return runs, end
}

// playRun plays a run to its end, and returns the next one, or what the caller gets.
func (j journey) playRun(r *run, number int) (next *run, end told) {
	finish := r.began + j.work
	stop := min(finish, j.nodeEnd(r.owner), j.last())
	var reserved *run
	search, reservedAt := arbiter.NotSearched, start
	for now := r.began + progressTimeout; now < stop; now += progressTimeout {
		at := start.Add(now)
		known := func() arbiter.Attempt {
			return j.attempt(r.owner, number, r.began, j.last(), now).WithSearch(search, reservedAt)
		}
		if search == arbiter.NoSlot {
			search = arbiter.NotSearched
		}
		if known().Next(at) == arbiter.Reserve {
			search, reservedAt = arbiter.NoSlot, at
			if reserved = j.take(r.owner+1, number+1, now); reserved != nil {
				search = arbiter.SlotReserved
			}
		}
		if known().Next(at) == arbiter.Move {
			r.ended = now
			return reserved, told{}
		}
	}
	r.ended = stop
	switch stop {
	case finish:
		return nil, told{stop, answered}
	case j.last():
		return nil, told{stop, ended}
	}
	r.cut = true
	known := j.attempt(r.owner, number, r.began, j.last(), stop).WithSearch(search, reservedAt).WithEnding(arbiter.NodeEnded)
	if known.Next(start.Add(stop)) == arbiter.Move {
		reserved.began = stop
		return reserved, told{}
	}
	for now := stop; known.Next(start.Add(now)) == arbiter.Search; now += searchInterval {
		if next := j.take(r.owner+1, number+1, now); next != nil {
			return next, told{}
		}
	}
	return nil, told{max(stop, j.last()), ended}
}

// broken returns what is wrong with the runs of a request; nothing if they are right.
func (j journey) broken(runs []run, end told) string {
	if end.what != ended {
		return ""
	}
	for i, r := range runs {
		left, finishes := j.known(r.began)-r.ended, r.began+j.work < j.known(r.began)
		if r.late && (r.cut || i+1 < len(runs)) && finishes && left >= shortRun && left < r.ended-r.began {
			return "a run began at a stopping owner whose end leaves less time for another one than it has taken"
		}
	}
	if len(runs) == 0 || len(runs) >= j.runs {
		return ""
	}
	r := runs[len(runs)-1]
	if !r.cut || end.at-r.ended < shortRun {
		return ""
	}
	if j.slotFrom <= max(r.ended-2*progressTimeout, r.began) && j.slotUntil >= r.ended && r.ended-r.began > 2*progressTimeout {
		return "the end of an owner is the last that happened to a request, though others had a slot before it"
	}
	if after := max(j.slotFrom, r.ended) + searchInterval; j.slotUntil >= after && after <= end.at-shortRun {
		return "the end of an owner is the last that happened to a request, though others had a slot after it"
	}
	return ""
}

// TestEndOfAnOwnerIsNotTheLastThatHappensToARequest guards against a request that its ingress gives up after the end of
// an owner's node has cut its run, while others have a slot: owners stop one after another, and the ingress right behind them.
func TestEndOfAnOwnerIsNotTheLastThatHappensToARequest(t *testing.T) {
	ingressSignals := append(steps(-2700, 3300, 200), never)
	ownerSignals := append(steps(-5200, 4000, 800), never)
	slots := steps(0, 9000, 500)
	journeys, failures, counts := 0, map[string]int{}, map[string]int{}
	play := func(j journey) {
		runs, end := j.play()
		journeys++
		counts[fmt.Sprint(end.what, " after runs: ", len(runs))]++
		if fault := j.broken(runs, end); fault != "" {
			if failures[fault]++; failures[fault] <= 3 {
				t.Errorf("%s: %+v: %+v: %+v", fault, j, runs, end)
			}
		}
	}
	for _, ingress := range ingressSignals {
		for _, first := range ownerSignals {
			for _, second := range ownerSignals {
				for _, from := range slots {
					for _, until := range []time.Duration{from + 800*time.Millisecond, never} {
						for _, work := range []time.Duration{1300 * time.Millisecond, 4600 * time.Millisecond} {
							for _, deadline := range []time.Duration{5 * time.Second, 15 * time.Second} {
								for runs := 1; runs <= 3; runs++ {
									play(journey{
										ingressSignal: ingress, ownerSignals: [3]time.Duration{first, second, never},
										work: work, deadline: deadline, slotFrom: from, slotUntil: until, runs: runs,
									})
								}
							}
						}
					}
				}
			}
		}
	}
	t.Log(journeys, "journeys:", counts, "failures:", failures)
}

// steps returns the times from one to another, in milliseconds.
func steps(from, to, step time.Duration) (all []time.Duration) {
	for at := from; at <= to; at += step {
		all = append(all, at*time.Millisecond)
	}
	return all
}
