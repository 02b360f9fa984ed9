package forwarder_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/retrier"
)

// refusedHedge is a request whose hedge is refused behind its offer. Its owner falls silent or breaks its connection then, while
// the third one has a slot a while later.
type refusedHedge struct {
	breaks bool
	// free is when the third owner has a slot; nil before the hedge is refused.
	free atomic.Pointer[time.Time]
}

// serveFirst runs the request without an answer.
func (h *refusedHedge) serveFirst(w http.ResponseWriter, q *http.Request) {
	if !strings.HasPrefix(q.URL.Path, dispatcher.PathPrefix) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	for h.free.Load() == nil && q.Context().Err() == nil {
		w.WriteHeader(http.StatusProcessing)
		time.Sleep(20 * time.Millisecond)
	}
	if !h.breaks {
		<-q.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// serveHedge reserves a slot and refuses the hedge.
func (h *refusedHedge) serveHedge(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == dispatcher.OfferPath {
		answerAsOwner(w, q, fleet.ReasonOffered)
		return
	}
	free := time.Now()
	if !h.breaks {
		free = free.Add(500 * time.Millisecond) // the request is not hedged again by then
	}
	h.free.CompareAndSwap(nil, &free)
	answerAsOwner(w, q, fleet.ReasonFailing)
}

// addThird adds an owner that has no slot until the request has lost its first owner.
func (h *refusedHedge) addThird(r *rig) {
	c := r.addOwner("c", &slow{work: 100 * time.Millisecond})
	r.servePeer(c, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if free := h.free.Load(); free == nil || time.Now().Before(*free) {
			answerAsOwner(w, q, fleet.ReasonBusy)
			return
		}
		peerHandler(c.dispatcher).ServeHTTP(w, q)
	}))
}

// TestRetryTakesThePlaceOfAHedgeThatDidNotRun guards against a retry budget that is charged twice for one run, for a hedge that its
// owner refused and for the attempt that follows, and against a request that is not tried again as the hedge took the last of the budget.
func TestRetryTakesThePlaceOfAHedgeThatDidNotRun(t *testing.T) {
	for name, breaks := range map[string]bool{"move away from a silent owner": false, "retry after a broken connection": true} {
		for _, budget := range []float64{5, 1} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				retries := retrier.New(retrier.WithBudget(0, budget))
				r := newTargetedRig(t, forwarder.WithRetrier(retries))
				h := &refusedHedge{breaks: breaks}
				r.servePeer(r.addOwner("a", newLedger()), http.HandlerFunc(h.serveFirst))
				r.servePeer(r.addOwner("b", newLedger()), http.HandlerFunc(h.serveHedge))
				h.addThird(r)
				status, _, _ := stopIngressUnder(t, r, "GET", "/")
				is.Equal(status, http.StatusOK)
				is.Equal(r.recorded(fleet.EventHedge, "hedged", "begun"), 1)
				is.Equal(retries.Remaining("ledger"), budget-1)
			})
		}
	}
}

// TestSearchBehindAPlannedStopTakesThePlaceOfAHedgeThatDidNotRun guards against a retry budget that is charged twice, for a refused hedge
// and for the attempt at an owner that has a slot once the first owner's node has ended.
func TestSearchBehindAPlannedStopTakesThePlaceOfAHedgeThatDidNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	retries := retrier.New(retrier.WithBudget(0, 5))
	r := newTargetedRig(t, forwarder.WithRetrier(retries))
	first, h := &endingOwner{ends: 2700 * time.Millisecond, work: time.Hour}, &refusedHedge{}
	r.servePeer(r.addOwner("a", newLedger()), first)
	r.servePeer(r.addOwner("b", newLedger()), http.HandlerFunc(h.serveHedge))
	c := r.addOwner("c", &slow{work: 100 * time.Millisecond})
	r.servePeer(c, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if !first.ended() {
			answerAsOwner(w, q, fleet.ReasonBusy)
			return
		}
		peerHandler(c.dispatcher).ServeHTTP(w, q)
	}))
	status, _, _ := stopIngressUnder(t, r, "GET", "/")
	is.Equal(status, http.StatusOK)
	is.Equal(r.recorded(fleet.EventHedge, "hedged", "begun"), 1)
	is.Equal(retries.Remaining("ledger"), 4.0)
}
