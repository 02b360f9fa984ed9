package checker

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/caller"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func answered(id string) caller.Record {
	return caller.Record{
		Request: "r-1", Node: "n", Sent: noon, Result: caller.ResultAnswered,
		Status: 200, Own: true, Took: 6 * time.Millisecond, Served: 5 * time.Millisecond, Backend: id,
	}
}

func ran(starts, finishes int) server.Entry {
	return server.Entry{Request: "r-1", Backend: "b", Starts: starts, Finishes: finishes}
}

// Each case has one violation, or the closest case that has none.
func TestCheckFindsEachViolation(t *testing.T) {
	other := answered("b")
	other.Own = false
	refused := answered("b")
	refused.Result = caller.ResultRefused
	silent := answered("b")
	silent.Result = caller.ResultSilent
	broken := answered("b")
	broken.Result = caller.ResultBroken
	late := broken
	late.Sent = noon.Add(time.Minute)
	kept := late
	kept.Reused, kept.Connected = true, noon.Add(-time.Second)
	reopened := kept
	reopened.Connected = noon.Add(time.Second)
	keptSilent := kept
	keptSilent.Result = caller.ResultSilent
	frozen := silent
	frozen.Node = "frozen"
	thawed := frozen
	thawed.Sent = noon.Add(time.Minute)
	keyed := answered("b")
	keyed.Key = "k"
	repeatable := answered("b")
	repeatable.Idempotent = true
	second := server.Entry{Request: "r-2", Key: "k", Backend: "c", Starts: 1, Finishes: 1}
	first := server.Entry{Request: "r-1", Key: "k", Backend: "b", Starts: 1, Finishes: 1}
	cases := []struct {
		name               string
		record             caller.Record
		entries            []server.Entry
		wrong, lost, twice int
	}{
		{"good answer", answered("b"), []server.Entry{ran(1, 1)}, 0, 0, 0},
		{"answer to another request", other, []server.Entry{ran(1, 1)}, 1, 0, 0},
		{"refused but run", refused, []server.Entry{ran(1, 0)}, 1, 0, 0},
		{"refused and not run", refused, nil, 0, 0, 0},
		{"reported as run but not run", answered("b"), nil, 0, 1, 0},
		{"answered but not finished", answered("b"), []server.Entry{ran(1, 0)}, 0, 1, 0},
		{"no outcome", silent, nil, 0, 1, 0},
		{"broken by a kill", broken, nil, 0, 0, 0},
		{"broken by a live node", late, nil, 0, 1, 0},
		{"sent after a kill over a connection from before it", kept, nil, 0, 0, 0},
		{"sent after a kill over a connection opened after it", reopened, nil, 0, 1, 0},
		{"silent over a connection from before a kill", keptSilent, nil, 0, 1, 0},
		{"silent while frozen", frozen, nil, 0, 0, 0},
		{"silent after thawing", thawed, nil, 0, 1, 0},
		{"run twice", answered("b"), []server.Entry{ran(2, 2)}, 0, 0, 1},
		{"idempotent run twice", repeatable, []server.Entry{ran(2, 2)}, 0, 0, 0},
		{"key run twice", keyed, []server.Entry{first, second}, 0, 0, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			report := New(WithKilled("n", noon), WithFrozen("frozen", noon, noon.Add(time.Second))).Check([]caller.Record{tc.record}, tc.entries)
			is.Equal(report.Wrong, tc.wrong)
			is.Equal(report.Lost, tc.lost)
			is.Equal(report.Twice, tc.twice)
			is.Equal(report.Passed(), tc.wrong+tc.lost+tc.twice == 0)
		})
	}
}

func TestReportLine(t *testing.T) {
	is := is.New(t)
	direct := answered("b")
	direct.Took = 5600 * time.Microsecond
	report := New(WithDirect([]caller.Record{direct})).Check([]caller.Record{answered("b")}, []server.Entry{ran(1, 1)})
	is.Equal(report.String(), "sent=1 answered=1 refused=0 unknown=0 wrong=0 lost=0 twice=0 "+
		"added_p50_ms=0.40 added_p99_ms=0.40")
}

// TestLostFindingTellsHowLateItsCallerWas guards against a finding that does not tell a late node from a late caller.
func TestLostFindingTellsHowLateItsCallerWas(t *testing.T) {
	is := is.New(t)
	silent := answered("b")
	silent.Result, silent.Limit, silent.Took = caller.ResultSilent, 2*time.Second, 2300*time.Millisecond
	silent.Due = noon.Add(-400 * time.Millisecond)
	finding := New().Check([]caller.Record{silent}, nil).Findings[0].String()
	is.True(strings.HasSuffix(finding, "last read from it at no time; caller 400ms late to send and 300ms late to give up after 2s"))
	broken := answered("b")
	broken.Result, broken.Limit = caller.ResultBroken, 2*time.Second
	finding = New().Check([]caller.Record{broken}, nil).Findings[0].String()
	is.True(strings.HasSuffix(finding, "; caller sent at once"))
	is.True(strings.Contains(finding, "over a connection opened at no time")) // none was opened
}
