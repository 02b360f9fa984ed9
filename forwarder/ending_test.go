package forwarder_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
)

// withoutFreeSlot is an owner that has a slot only for attempts that wait for one. If its node stops, it tells so.
func withoutFreeSlot(then http.Handler, stops bool) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get(fleet.HeaderNoWait) == "" {
			then.ServeHTTP(w, q)
			return
		}
		if stops {
			w.Header().Set(fleet.HeaderEnds, "4000")
		}
		w.Header().Set(fleet.HeaderRequestID, q.Header.Get(fleet.HeaderRequestID))
		w.Header().Set(fleet.HeaderExecuted, string(fleet.ExecutedNo))
		w.Header().Set(fleet.HeaderReason, string(fleet.ReasonBusy))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestRequestWaitsAtAnOwnerThatRunsOn guards against a request that begins at a stopping owner, whose end may cut it, while
// another one has a slot for it soon.
func TestRequestWaitsAtAnOwnerThatRunsOn(t *testing.T) {
	for name, tc := range map[string]struct {
		stopping, running int
	}{
		"one of each":             {1, 1},
		"many stop":               {5, 1},
		"all that are asked stop": {9, 1},
		"all stop":                {2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, forwarder.WithNoWaitAttempts(3))
			stopping, running := newLedger(), newLedger()
			for i := range tc.stopping {
				o := r.addOwner(string(rune('a'+i)), stopping)
				r.servePeer(o, withoutFreeSlot(peerHandler(o.dispatcher), true))
			}
			for i := range tc.running {
				o := r.addOwner(string(rune('s'+i)), running)
				r.servePeer(o, withoutFreeSlot(peerHandler(o.dispatcher), false))
			}
			response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "waits")
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(stopping.count("waits")+running.count("waits"), 1)
			is.Equal(running.count("waits") == 1, tc.running > 0 && tc.stopping <= 6)
			is.True(r.forwarder.IsStopping("a")) // by its refusal
			is.True(!r.forwarder.IsStopping("s"))
		})
	}
}
