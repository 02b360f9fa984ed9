package evaluator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

// TestAdvisedNodeReportsOnlyOwnEvidence guards against a node that reports its
// owner's evidence as its own: on advice the backend server is degraded at once,
// but evidence is reported only after the node itself saw failures.
func TestAdvisedNodeReportsOnlyOwnEvidence(t *testing.T) {
	is := is.New(t)
	e := New()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	observe := func(id fleet.BackendID, class fleet.Class, times int) {
		for range times {
			now = now.Add(10 * time.Millisecond)
			e.Observe(fleet.Sample{
				At: now, Service: "s", Backend: id, Kind: "k", Class: class,
				ServiceTime: 5 * time.Millisecond, PathTime: 6 * time.Millisecond,
			})
		}
	}
	for range 100 {
		observe("good-1", fleet.ClassOK, 1)
		observe("good-2", fleet.ClassOK, 1)
		observe("bad", fleet.ClassOK, 1)
	}
	e.ApplyOwnerEvidence("s", "bad", 40)
	is.Equal(e.Health("bad"), fleet.Degraded)
	is.Equal(len(e.Evidence()), 0) // no evidence of its own
	observe("bad", fleet.ClassError, 3)
	evidence := e.Evidence()
	is.Equal(len(evidence), 1)
	is.True(evidence[0].LLR >= CorroborationNats)
	is.True(evidence[0].Cause != CauseAdvised)
}
