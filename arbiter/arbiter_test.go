package arbiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/arbiter"
)

var start = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

// silent returns an attempt without a sign of life for a number of progress timeouts, with a second left.
func silent(timeouts int) arbiter.Attempt {
	return arbiter.New(start, start.Add(time.Second)).WithSilence(timeouts)
}

// TestAttemptsAtWorkAreNotGivenUpForSilence guards against giving up an attempt while its answer
// may still come and nothing is certain to take its place.
func TestAttemptsAtWorkAreNotGivenUpForSilence(t *testing.T) {
	repeatable := func(timeouts int) arbiter.Attempt { return silent(timeouts).WithRepeatable(false) }
	lastLoss := silent(2).WithRepeatable(true)
	late := arbiter.New(start, start.Add(50*time.Millisecond)).WithRepeatable(false).WithSilence(2)
	for name, tc := range map[string]struct {
		attempt arbiter.Attempt
		next    arbiter.Step
	}{
		"first timeout":               {silent(1), arbiter.Wait},
		"not asked":                   {silent(2), arbiter.Ask},
		"asked again":                 {silent(20), arbiter.Ask},
		"sealed":                      {silent(2).WithAnswer(arbiter.Sealed, start), arbiter.Drop},
		"may run":                     {silent(20).WithAnswer(arbiter.NotSealed, start), arbiter.Wait},
		"owner unreachable":           {silent(20).WithAnswer(arbiter.Unreachable, start), arbiter.Wait},
		"owner ended":                 {silent(2).WithAnswer(arbiter.Ended, start), arbiter.Wait},
		"owner ended long ago":        {silent(2).WithAnswer(arbiter.Ended, start.Add(-time.Second)), arbiter.Drop},
		"owner gone":                  {silent(2).WithAnswer(arbiter.Gone, start), arbiter.Drop},
		"repeatable, first":           {repeatable(1), arbiter.Wait},
		"repeatable, not asked":       {repeatable(2), arbiter.Ask},
		"repeatable, sealed":          {repeatable(2).WithAnswer(arbiter.Sealed, start), arbiter.Drop},
		"repeatable, ended":           {repeatable(2).WithAnswer(arbiter.Ended, start), arbiter.Reserve},
		"repeatable, ended long ago":  {repeatable(2).WithAnswer(arbiter.Ended, start.Add(-time.Second)), arbiter.Drop},
		"repeatable, may run":         {repeatable(2).WithAnswer(arbiter.NotSealed, start), arbiter.Reserve},
		"repeatable, unreachable":     {repeatable(2).WithAnswer(arbiter.Unreachable, start), arbiter.Reserve},
		"slot reserved":               {repeatable(2).WithAnswer(arbiter.NotSealed, start).WithSearch(arbiter.SlotReserved, start), arbiter.Move},
		"no slot":                     {repeatable(20).WithAnswer(arbiter.Unreachable, start).WithSearch(arbiter.NoSlot, start), arbiter.Wait},
		"no time for another":         {late.WithAnswer(arbiter.NotSealed, start), arbiter.Wait},
		"second lost owner":           {lastLoss.WithAnswer(arbiter.Unreachable, start), arbiter.Wait},
		"second lost owner, ended":    {lastLoss.WithAnswer(arbiter.Ended, start), arbiter.Wait},
		"second lost owner, answered": {lastLoss.WithAnswer(arbiter.NotSealed, start), arbiter.Reserve},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.attempt.Next(start), tc.next)
		})
	}
}

// TestAnswerOfAnEndedProcessIsWaitedFor guards against taking a refused port for proof that no answer
// comes: the path was silent for 3 s, and TCP may not try it again for as long.
func TestAnswerOfAnEndedProcessIsWaitedFor(t *testing.T) {
	is := is.New(t)
	refused := start.Add(3 * time.Second)
	a := arbiter.New(start, start.Add(time.Minute)).WithSilence(8).WithAnswer(arbiter.Ended, refused)
	is.Equal(a.Next(refused.Add(3*time.Second-1)), arbiter.Wait)
	again := a.WithSilence(9).WithAnswer(arbiter.Ended, refused.Add(time.Second))
	is.Equal(again.Next(refused.Add(3*time.Second-1)), arbiter.Wait)
	is.Equal(again.Next(refused.Add(3*time.Second)), arbiter.Drop)
}

// TestAttemptMovesOnlyToAReservedSlot guards against a request that leaves a stopping owner too early, or
// for owners that are full.
func TestAttemptMovesOnlyToAReservedSlot(t *testing.T) {
	is := is.New(t)
	end := start.Add(6 * time.Second)
	a := arbiter.New(start, start.Add(time.Minute)).WithRepeatable(false).WithNodeEnd(end)
	is.Equal(a.Next(end.Add(-1050*time.Millisecond-1)), arbiter.Wait)
	late := end.Add(-1050 * time.Millisecond)
	is.Equal(a.Next(late), arbiter.Reserve)
	is.Equal(a.WithSearch(arbiter.NoSlot, late).Next(late), arbiter.Wait)
	is.Equal(a.WithSearch(arbiter.NoSlot, late).WithNewSearch().Next(late), arbiter.Reserve)
	is.Equal(a.WithSearch(arbiter.SlotReserved, late).WithNewSearch().Next(late), arbiter.Move)
	is.Equal(a.WithDeadline(end).Next(late), arbiter.Wait) // its deadline comes first
	is.Equal(arbiter.New(start, start.Add(time.Minute)).WithNodeEnd(end).Next(late), arbiter.Wait)
}

// TestRequestWhoseOwnerEndedIsSearchedASlotFor guards against an answer of the ingress's own with time left,
// as no other owner had a slot in the moment in which a stopping owner ended.
func TestRequestWhoseOwnerEndedIsSearchedASlotFor(t *testing.T) {
	is := is.New(t)
	a := arbiter.New(start, start.Add(time.Second)).WithRepeatable(false).WithEnding(arbiter.NodeEnded)
	is.Equal(a.Next(start), arbiter.Search)
	is.Equal(a.WithSearch(arbiter.SlotReserved, start).Next(start), arbiter.Move)
	is.Equal(a.Next(start.Add(950*time.Millisecond)), arbiter.Drop)
	is.Equal(a.WithEnding(arbiter.Failed).Next(start), arbiter.Drop)
	is.Equal(arbiter.New(start, start.Add(time.Second)).WithEnding(arbiter.NodeEnded).Next(start), arbiter.Drop)
}

// TestLapsedSlotIsNotMovedTo guards against an attempt at work that is given up for a slot which was reserved
// in an earlier silence.
func TestLapsedSlotIsNotMovedTo(t *testing.T) {
	is := is.New(t)
	a := arbiter.New(start, start.Add(time.Minute)).WithRepeatable(false).WithSilence(2).
		WithAnswer(arbiter.NotSealed, start).WithSearch(arbiter.SlotReserved, start)
	is.Equal(a.Next(start.Add(400*time.Millisecond-1)), arbiter.Move)
	is.Equal(a.Next(start.Add(400*time.Millisecond)), arbiter.Reserve)
	back := a.WithProgress(start.Add(time.Second)).WithNewSearch()
	is.Equal(back.Next(start.Add(time.Second)), arbiter.Wait)
	again := start.Add(10 * time.Second)
	is.Equal(back.WithSilence(2).WithAnswer(arbiter.Unreachable, again).Next(again), arbiter.Reserve)
	is.Equal(back.WithNodeEnd(again.Add(time.Second)).Next(again), arbiter.Reserve)
}

// TestAttemptStaysThatWouldBeTooLateElsewhere guards against a request that would end before its owner's node
// and begins anew at another owner, with less time left than it has taken so far.
func TestAttemptStaysThatWouldBeTooLateElsewhere(t *testing.T) {
	is := is.New(t)
	end := start.Add(6 * time.Second)
	late := end.Add(-time.Second)
	a := arbiter.New(start, start.Add(10*time.Second)).WithRepeatable(false).WithNodeEnd(end)
	is.Equal(a.Next(late), arbiter.Reserve)
	is.Equal(a.WithDeadline(start.Add(10*time.Second-1)).Next(late), arbiter.Wait)
	ended := a.WithDeadline(start.Add(10*time.Second - 1)).WithEnding(arbiter.NodeEnded)
	is.Equal(ended.Next(end), arbiter.Search) // it may be faster elsewhere
}

// TestSlotIsReservedBeforeTheOwnerEnds guards against a search that begins with the end of the owner's node, when the
// ingress may have no time left for it. The run goes on until then.
func TestSlotIsReservedBeforeTheOwnerEnds(t *testing.T) {
	is := is.New(t)
	end := start.Add(6 * time.Second)
	late := end.Add(-380 * time.Millisecond)
	a := arbiter.New(start, end.Add(time.Second)).WithRepeatable(false).WithNodeEnd(end) // less is left than was taken
	is.Equal(a.Next(late.Add(-1)), arbiter.Wait)
	is.Equal(a.Next(late), arbiter.Reserve)
	reserved := a.WithSearch(arbiter.SlotReserved, late)
	is.Equal(reserved.Next(end), arbiter.Wait)
	is.Equal(reserved.WithEnding(arbiter.NodeEnded).Next(end), arbiter.Move)
	is.Equal(a.WithDeadline(end.Add(100*time.Millisecond-1)).Next(late), arbiter.Wait) // too little for another run
	is.Equal(arbiter.New(start, end.Add(time.Second)).WithNodeEnd(end).Next(late), arbiter.Wait)
}

// TestAttemptBeginsAtAStoppingOwnerOnlyWithTimeForAnother guards against a run at a stopping owner that ends with its node when
// less time is left for another one than it has taken.
func TestAttemptBeginsAtAStoppingOwnerOnlyWithTimeForAnother(t *testing.T) {
	end := start.Add(4700 * time.Millisecond)
	for name, tc := range map[string]struct {
		deadline   time.Duration
		repeatable bool
		begins     bool
	}{
		"deadline before the end": {4700 * time.Millisecond, false, true},
		"deadline just behind it": {4701 * time.Millisecond, true, false},
		"must run once":           {15 * time.Second, false, false},
		"less than was taken":     {8*time.Second - 1, true, false},
		"as much as was taken":    {8 * time.Second, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := arbiter.New(start, start.Add(tc.deadline)).WithNodeEnd(end)
			if tc.repeatable {
				a = a.WithRepeatable(false)
			}
			is.Equal(a.IsWorthBeginning(), tc.begins)
			is.True(arbiter.New(start, start.Add(tc.deadline)).IsWorthBeginning()) // its node does not stop
		})
	}
}
