package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/retrier"
)

// noBudget returns a retrier whose budget is spent. Those of owners are as well.
func noBudget() *retrier.Retrier {
	return retrier.New(retrier.WithOwnerCharge(), retrier.WithAllowance(func() retrier.Allowance {
		return retrier.Allowance{Window: time.Minute, UnreachedCost: 1, ReachedCost: 1, RanCost: 1}
	}))
}

// holding returns a backend server that holds its requests, a channel on which it tells that one
// runs, and one that ends the hold.
func holding() (handler http.Handler, running, hold chan struct{}) {
	running, hold = make(chan struct{}, 1), make(chan struct{})
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		select {
		case <-hold:
		case <-r.Context().Done():
		}
	}), running, hold
}

// TestRequestAtAStoppingOwnerRunsElsewhere guards against requests that are lost to a planned stop:
// the owner's node ends while one runs, and the retry budget is spent.
func TestRequestAtAStoppingOwnerRunsElsewhere(t *testing.T) {
	is := is.New(t)
	r := newRig(t, forwarder.WithRetrier(noBudget()))
	handler, running, hold := holding()
	defer close(hold)
	stopped := r.addOwner("a", handler)
	other := newLedger()
	r.addOwner("b", other)
	status := make(chan int)
	go func() {
		response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "handed-back")
		status <- response.StatusCode
	}()
	<-running
	stopped.handBack()
	is.Equal(<-status, http.StatusOK)
	is.Equal(other.count("handed-back"), 1)
}

// tooLate is an owner that refuses each request because the time left is too short.
func tooLate(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(fleet.HeaderRequestID, q.Header.Get(fleet.HeaderRequestID))
	w.Header().Set(fleet.HeaderExecuted, string(fleet.ExecutedNo))
	w.Header().Set(fleet.HeaderReason, string(fleet.ReasonDeadline))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestRefusalsBeforeAHandBackDoNotCount guards against requests that are lost to a planned stop because
// slow backend servers, which are to be asked twice at most, refused them before and after it.
func TestRefusalsBeforeAHandBackDoNotCount(t *testing.T) {
	is := is.New(t)
	r := newRig(t, forwarder.WithRetrier(retrier.New(retrier.WithAttempts(8))))
	handler, running, hold := holding()
	defer close(hold)
	other := newLedger()
	r.servePeer(r.addOwner("a", other), http.HandlerFunc(tooLate))
	stopped := r.addOwner("b", handler)
	r.servePeer(r.addOwner("c", other), http.HandlerFunc(tooLate))
	r.addOwner("d", other)
	status := make(chan int)
	go func() {
		response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "handed-back")
		status <- response.StatusCode
	}()
	<-running
	stopped.handBack()
	is.Equal(<-status, http.StatusOK)
	is.Equal(other.count("handed-back"), 1)
}

// TestRequestIsHandedBackToANodeThatHasStartedAgain guards against requests that are lost where stops
// overlap: the other owners refused them when they stopped, and have started again since.
func TestRequestIsHandedBackToANodeThatHasStartedAgain(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	handler, running, hold := holding()
	defer close(hold)
	restarted := newLedger()
	first := r.addOwner("a", restarted)
	stopped := r.addOwner("b", handler)
	first.setState(fleet.BackendDraining)
	status := make(chan int)
	go func() {
		response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "handed-back")
		status <- response.StatusCode
	}()
	<-running
	first.setState(fleet.BackendReady)
	time.Sleep(400 * time.Millisecond) // longer than the ingress remembers the refusal
	stopped.handBack()
	select {
	case got := <-status:
		is.Equal(got, http.StatusOK)
		is.Equal(restarted.count("handed-back"), 1)
	case <-time.After(5 * time.Second):
		t.Error("not handed back")
	}
}

// TestRequestWithoutAnotherAttemptIsNotHandedBack guards against a stopping owner that breaks off
// requests which could still end, and which may run nowhere else.
func TestRequestWithoutAnotherAttemptIsNotHandedBack(t *testing.T) {
	for method, path := range map[string]string{"GET": "/single", "POST": "/refund"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			handler, running, hold := holding()
			stopped := r.addOwner("a", handler)
			r.addOwner("b", newLedger())
			status := make(chan int)
			go func() {
				response, _ := sendRequest(t, r, method, path, "")
				status <- response.StatusCode
			}()
			<-running
			stopped.handBack()
			select {
			case got := <-status:
				t.Errorf("answered %d before it ended", got)
			case <-time.After(100 * time.Millisecond):
				close(hold)
				is.Equal(<-status, http.StatusOK)
			}
		})
	}
}

// TestLeavingOwnersUseUpNoAttempts guards against requests that fail because many nodes stop at
// once, each of which only says so.
func TestLeavingOwnersUseUpNoAttempts(t *testing.T) {
	is := is.New(t)
	r := newRig(t, forwarder.WithRetrier(noBudget()))
	for i := range 12 {
		r.addOwner(fmt.Sprint("leaving-", i), newLedger()).dispatcher.Drain()
	}
	last := newLedger()
	r.addOwner("staying", last)
	for _, method := range []string{"GET", "POST"} {
		response, _ := sendRequest(t, r, method, "/refund", "", fleet.HeaderRequestID, method)
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(response.Header.Get(fleet.HeaderExecuted), "yes")
		is.Equal(last.count(method), 1)
	}
}

// TestSlowOwnerDoesNotKeepWhatOthersCanDoInTime guards against a stopping owner that keeps a request
// because its own backend server is slow, while another one would take it.
func TestSlowOwnerDoesNotKeepWhatOthersCanDoInTime(t *testing.T) {
	is := is.New(t)
	r := newRig(t, forwarder.WithRetrier(noBudget()))
	running := make(chan struct{}, 1)
	stopped := r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get(fleet.HeaderRequestID) == "usual" {
			time.Sleep(1500 * time.Millisecond)
			w.Header().Set(fleet.HeaderRequestID, "usual")
			return
		}
		running <- struct{}{}
		<-q.Context().Done()
	}))
	sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "usual")
	other := newLedger()
	r.addOwner("b", other)
	go func() {
		<-running
		time.Sleep(700 * time.Millisecond)
		stopped.handBack() // 1.3 s are left
		time.Sleep(300 * time.Millisecond)
		stopped.peer.CloseClientConnections()
		_ = stopped.peer.Listener.Close()
	}()
	response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "kept", fleet.HeaderTimeout, "2000")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(other.count("kept"), 1)
}

// TestStreamedAnswerIsNotCutBeforeTheEnd guards against stopping nodes that cut an answer of which its
// caller has a part already, so that neither another attempt nor another answer can follow.
func TestStreamedAnswerIsNotCutBeforeTheEnd(t *testing.T) {
	t.Run("owner hands back", func(t *testing.T) { checkStreamed(t, func(_ *rig, o *owner) { o.handBack() }) })
	t.Run("ingress aborts", func(t *testing.T) {
		checkStreamed(t, func(r *rig, _ *owner) {
			r.forwarder.AbortWaiting()
			r.forwarder.Abort()
		})
	})
}

// checkStreamed stops a node while an answer is passed on.
func checkStreamed(t *testing.T, stop func(*rig, *owner)) {
	is := is.New(t)
	const part = 5000
	r := newRig(t, forwarder.WithMaxAnswerSize(1000))
	running := make(chan struct{}, 1)
	stopped := r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(fleet.HeaderRequestID, q.Header.Get(fleet.HeaderRequestID))
		w.Header().Set("Content-Length", strconv.Itoa(2*part))
		_, _ = w.Write(make([]byte, part))
		_ = http.NewResponseController(w).Flush()
		running <- struct{}{}
		time.Sleep(300 * time.Millisecond)
		_, _ = w.Write(make([]byte, part))
	}), dispatcher.WithMaxAnswerSize(1000))
	r.addOwner("b", newLedger())
	go func() {
		<-running
		time.Sleep(100 * time.Millisecond)
		stop(r, stopped)
	}()
	response, err := http.Get(r.caller.URL + "/")
	is.NoErr(err)
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.Equal(n, int64(2*part))
}

// busyUntil is an owner that has no free slot until a time.
func busyUntil(at time.Time, then http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if !time.Now().Before(at) {
			then.ServeHTTP(w, q)
			return
		}
		w.Header().Set(fleet.HeaderRequestID, q.Header.Get(fleet.HeaderRequestID))
		w.Header().Set(fleet.HeaderExecuted, string(fleet.ExecutedNo))
		w.Header().Set(fleet.HeaderReason, string(fleet.ReasonBusy))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestHandedBackRequestIsNotGivenUpWhileOthersAreBusy guards against a request that ends with much time left because
// all others were busy in the moment in which its owner handed it back.
func TestHandedBackRequestIsNotGivenUpWhileOthersAreBusy(t *testing.T) {
	is := is.New(t)
	r := newRig(t, forwarder.WithRetrier(noBudget()))
	handler, running, hold := holding()
	defer close(hold)
	stopped := r.addOwner("a", handler)
	other := newLedger()
	free := time.Now().Add(time.Second)
	for _, name := range []string{"b", "c", "d"} {
		busy := r.addOwner(name, other)
		r.servePeer(busy, busyUntil(free, peerHandler(busy.dispatcher)))
	}
	status := make(chan int)
	go func() {
		response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "handed-back", fleet.HeaderTimeout, "6000")
		status <- response.StatusCode
	}()
	<-running
	stopped.handBack()
	is.Equal(<-status, http.StatusOK)
	is.Equal(other.count("handed-back"), 1)
}
