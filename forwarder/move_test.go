package forwarder_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/retrier"
)

// endingOwner is an owner whose node ends a time after its first attempt, which takes some time.
type endingOwner struct {
	ends, work time.Duration
	first      sync.Once
	// end is set once first is done.
	end      atomic.Pointer[time.Time]
	attempts atomic.Int32
	left     atomic.Bool
}

func (o *endingOwner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	header := w.Header()
	header.Set(fleet.HeaderRequestID, q.Header.Get(fleet.HeaderRequestID))
	if q.URL.Path == dispatcher.OfferPath {
		header.Set(fleet.HeaderExecuted, string(fleet.ExecutedNo))
		header.Set(fleet.HeaderReason, string(fleet.ReasonOffered))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !strings.HasPrefix(q.URL.Path, dispatcher.PathPrefix) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	o.attempts.Add(1)
	o.first.Do(func() {
		end := time.Now().Add(o.ends)
		o.end.Store(&end)
	})
	end := *o.end.Load()
	done, beat := time.After(o.work), time.NewTicker(50*time.Millisecond)
	defer beat.Stop()
	for {
		select {
		case <-done:
			header.Del(fleet.HeaderEnds)
			header.Set(fleet.HeaderExecuted, string(fleet.ExecutedYes))
			w.WriteHeader(http.StatusOK)
			return
		case <-q.Context().Done():
			o.left.Store(true)
			return
		case <-beat.C:
		}
		if time.Now().After(end) {
			panic(http.ErrAbortHandler)
		}
		header.Set(fleet.HeaderEnds, strconv.FormatInt(time.Until(end).Milliseconds(), 10))
		w.WriteHeader(http.StatusProcessing)
	}
}

// ended reports whether the node has ended.
func (o *endingOwner) ended() bool {
	end := o.end.Load()
	return end != nil && time.Now().After(*end)
}

// serveEnding returns a rig whose first owner ends after a time, and whose others have no free slot until another.
func serveEnding(t *testing.T, ends, work, free time.Duration) (*rig, *endingOwner, *ledger) {
	r, other := newRig(t, forwarder.WithRetrier(noBudget()), forwarder.WithNoWaitAttempts(3)), newLedger()
	now := time.Now()
	ending := &endingOwner{ends: ends, work: work}
	r.servePeer(r.addOwner("a", newLedger()), ending)
	for _, name := range []string{"b", "c", "d", "f", "g", "h", "i", "j"} {
		o := r.addOwner(name, other)
		r.servePeer(o, busyUntil(now.Add(free), peerHandler(o.dispatcher)))
	}
	return r, ending, other
}

// TestRequestLeavesAStoppingOwnerOnlyForAReservedSlot guards against a request that is taken from a stopping
// owner while all others are full, and against one that stays there until the node ends.
func TestRequestLeavesAStoppingOwnerOnlyForAReservedSlot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const free = 1500 * time.Millisecond
	r, ending, other := serveEnding(t, 2500*time.Millisecond, time.Hour, free)
	began := time.Now()
	response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "moved", fleet.HeaderTimeout, "9000")
	took := time.Since(began)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(other.count("moved"), 1)
	is.Equal(ending.attempts.Load(), int32(1))
	is.True(took > free-50*time.Millisecond)
	is.True(took < 2500*time.Millisecond) // before the owner's node ended
	is.Equal(r.recorded(fleet.EventSearch, "moved", "reserved"), 1)
}

// TestRequestIsAnsweredThoughItsOwnerEndsWhileOthersAreFull guards against an answer of the ingress's own at
// the end of the owner's node, with seconds left.
func TestRequestIsAnsweredThoughItsOwnerEndsWhileOthersAreFull(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r, _, other := serveEnding(t, 500*time.Millisecond, time.Hour, 6*time.Second)
	response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "searched", fleet.HeaderTimeout, "9000")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(other.count("searched"), 1)
	is.True(r.recorded(fleet.EventSearch, "searched", "none") >= 1)
}

// TestRequestThatEndsBeforeItsOwnerStaysThere guards against a second run of a request that is answered in
// time, or whose deadline comes first.
func TestRequestThatEndsBeforeItsOwnerStaysThere(t *testing.T) {
	for name, tc := range map[string]struct {
		work    time.Duration
		timeout string
		status  int
	}{
		"answered":      {time.Second, "9000", http.StatusOK},
		"deadline":      {time.Hour, "1500", http.StatusGatewayTimeout},
		"must run once": {2 * time.Second, "9000", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			method, path := http.MethodGet, "/"
			if name == "must run once" {
				method, path = http.MethodPost, "/refund"
			}
			r, ending, other := serveEnding(t, 2500*time.Millisecond, tc.work, 0)
			response, _ := sendRequest(t, r, method, path, "", fleet.HeaderRequestID, "stays", fleet.HeaderTimeout, tc.timeout)
			is.Equal(response.StatusCode, tc.status)
			is.Equal(ending.attempts.Load(), int32(1))
			is.Equal(other.total(), 0)
		})
	}
}

// TestSlotIsReservedThoughTheIngressEndsSoon guards against a request that finds no owner once its owner's node has ended,
// in the little time that its own node has left, though another owner had a slot before.
func TestSlotIsReservedThoughTheIngressEndsSoon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const (
		ends = 2500 * time.Millisecond
		left = 300 * time.Millisecond
		work = 100 * time.Millisecond
	)
	other := newLedger()
	r := newRig(t, forwarder.WithRetrier(noBudget()), forwarder.WithNoWaitAttempts(3))
	ending := &endingOwner{ends: ends, work: time.Hour}
	r.servePeer(r.addOwner("a", newLedger()), ending)
	o := r.addOwner("b", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(work)
		other.ServeHTTP(w, q)
	}))
	var reserved atomic.Bool
	r.servePeer(o, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == dispatcher.OfferPath {
			reserved.Store(true)
		}
		if !reserved.Load() || q.URL.Path == dispatcher.OfferPath && ending.ended() {
			busyUntil(time.Now().Add(time.Hour), nil).ServeHTTP(w, q)
			return
		}
		peerHandler(o.dispatcher).ServeHTTP(w, q)
	}))
	r.forwarder.Stop(time.Now(), time.Now().Add(ends+left), time.Now().Add(ends+left+time.Second))
	timer := time.AfterFunc(ends+left, r.forwarder.Abort)
	defer timer.Stop()
	response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "moved", fleet.HeaderTimeout, "9000")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(other.count("moved"), 1)
}

// TestLastAttemptIsOfferedAsSuch guards against the last run that a route allows at an owner that stops as
// well: it takes such a request only if it will be done before its own node ends.
func TestLastAttemptIsOfferedAsSuch(t *testing.T) {
	for runs, last := range map[int]string{2: "true", 3: ""} {
		t.Run(strconv.Itoa(runs), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, _, _ := serveEnding(t, 1500*time.Millisecond, time.Hour, 0)
			r.configure(configuration.WithRoute(fleet.Route{
				Name: "bounded", Service: "ledger", Method: "GET", PathPrefix: "/bounded", Idempotent: true, Kind: "read", Weight: 1, MaxAttempts: runs,
			}))
			offers := make(chan string, 8)
			next := r.addOwner("e", newLedger())
			r.mu.Lock()
			end := len(r.backends) - 1
			r.backends[1], r.backends[end] = r.backends[end], r.backends[1] // the picker takes the first
			r.mu.Unlock()
			r.servePeer(next, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if q.URL.Path == dispatcher.OfferPath {
					offers <- q.Header.Get(fleet.HeaderLastAttempt)
				}
				next.dispatcher.ServeOffer(w, q)
			}))
			sendRequest(t, r, "GET", "/bounded", "", fleet.HeaderTimeout, "9000")
			is.Equal(<-offers, last)
		})
	}
}

// TestReservedSlotThatIsNotUsedCostsNoRetry guards against a retry budget that is spent on requests whose stopping
// owner answers them after all.
func TestReservedSlotThatIsNotUsedCostsNoRetry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const ends = 3900 * time.Millisecond // less is left for another attempt than is taken by then
	budget := retrier.New()
	r := newRig(t, forwarder.WithRetrier(budget))
	r.servePeer(r.addOwner("a", newLedger()), &endingOwner{ends: ends, work: ends - 20*time.Millisecond})
	other := newLedger()
	r.addOwner("b", other)
	r.addOwner("c", other)
	left := budget.Remaining("ledger")
	response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "stays", fleet.HeaderTimeout, "4400")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(other.total(), 0)
	is.Equal(r.recorded(fleet.EventSearch, "stays", "reserved"), 1)
	is.True(budget.Remaining("ledger") >= left)
}
