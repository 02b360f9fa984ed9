package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
)

// answered is what a caller was told, and when.
type answered struct {
	status   int
	executed string
	at       time.Time
}

// sendLong sends a request that may take a minute.
func sendLong(t *testing.T, caller, method, path string) <-chan answered {
	answers := make(chan answered, 1)
	go func() {
		response, _ := sendRequestTo(t, caller, method, path, "", fleet.HeaderTimeout, "60000")
		answers <- answered{response.StatusCode, response.Header.Get(fleet.HeaderExecuted), time.Now()}
	}()
	return answers
}

// held is a rig with one owner whose backend server holds its requests, four of which fill its slots.
type held struct {
	*rig
	owner *owner
	// release ends the hold.
	release func()
	// silent is set while the owner answers no calls.
	silent atomic.Bool
	// atWork is the answer to the one of them that was sent to the rig's present ingress.
	atWork <-chan answered
}

func serveHeld(t *testing.T, work *drainer.Drainer, method, path string) *held {
	var running atomic.Int32
	hold := make(chan struct{})
	r := &held{rig: newRig(t), release: sync.OnceFunc(func() { close(hold) })}
	r.owner = r.addOwner("a", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running.Add(1)
		<-hold
	}))
	peer := peerHandler(r.owner.dispatcher)
	r.servePeer(r.owner, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.silent.Load() && strings.HasSuffix(q.URL.Path, "/Seal") {
			_, _ = io.Copy(io.Discard, q.Body) // net/http notices that the caller left only behind the body
			<-q.Context().Done()
			return
		}
		peer.ServeHTTP(w, q)
	}))
	for range 3 {
		sendLong(t, r.caller.URL, http.MethodPost, "/refund")
	}
	r.addIngress("second", forwarder.WithDrainer(work))
	t.Cleanup(r.release) // before the servers are closed
	r.atWork = sendLong(t, r.caller.URL, method, path)
	for deadline := time.Now().Add(10 * time.Second); running.Load() < 4; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the slots are not full")
		}
	}
	return r
}

// TestFirstAbortEndsOnlyWhatWaits guards against a stopping node that gives up requests at which a backend server
// is at work while it has time left, and against callers of requests that wait who learn late that these did not run.
func TestFirstAbortEndsOnlyWhatWaits(t *testing.T) {
	for method, path := range map[string]string{"GET": "/", "POST": "/refund"} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			work := drainer.New()
			r := serveHeld(t, work, method, path)
			waits := sendLong(t, r.caller.URL, method, path)
			waitForWork(t, work, drainer.Requests, 2)
			for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				if _, waiting := r.owner.dispatcher.Load(r.owner.backend.ID); waiting == 1 {
					break
				}
			}
			time.Sleep(50 * time.Millisecond) // the ingress is told that it waits
			r.forwarder.AbortWaiting()
			is.Equal((<-waits).executed, "no")
			waitForWork(t, work, drainer.LateRequests, 1)
			select {
			case got := <-r.atWork:
				t.Fatalf("the request at work was ended with %d", got.status)
			case <-time.After(300 * time.Millisecond):
			}
			r.release()
			is.Equal((<-r.atWork).status, http.StatusOK)
			work.Close(drainer.Requests, drainer.LateRequests)
			is.NoErr(work.Wait(context.Background()))
		})
	}
}

// TestLastAbortAnswersInTime guards against callers whose connections are closed without an answer as the node ends:
// a request that goes on until shortly before, also if its owner does not answer calls.
func TestLastAbortAnswersInTime(t *testing.T) {
	for name, silent := range map[string]bool{"owner answers": false, "owner is silent": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			work := drainer.New()
			r := serveHeld(t, work, http.MethodPost, "/refund")
			r.silent.Store(silent)
			const left = 100 * time.Millisecond
			last := time.Now().Add(300 * time.Millisecond)
			r.forwarder.Stop(time.Now(), last, last.Add(left))
			r.forwarder.AbortWaiting()
			time.Sleep(time.Until(last))
			r.forwarder.Abort()
			got := <-r.atWork
			t.Logf("answered after %v", got.at.Sub(last))
			is.Equal(got.status, http.StatusGatewayTimeout)
			is.Equal(got.executed, string(fleet.ExecutedUnknown))
			is.True(!got.at.Before(last))
			is.True(got.at.Sub(last) < left)
		})
	}
}

// TestRequestThatMayHaveRunOutlastsTheFirstAbort guards against a request that is given up although an earlier
// attempt of it may be at work: its connection broke, and the next one waits for a slot.
func TestRequestThatMayHaveRunOutlastsTheFirstAbort(t *testing.T) {
	is := is.New(t)
	work := drainer.New()
	r := newRig(t, forwarder.WithDrainer(work))
	r.addOwner("a", http.HandlerFunc(newLedger().recordAndBreak))
	var waits atomic.Bool
	hold := make(chan struct{})
	free := sync.OnceFunc(func() { close(hold) })
	o := r.addOwner("b", newLedger())
	then := peerHandler(o.dispatcher)
	r.servePeer(o, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(fleet.HeaderProgress, fleet.ProgressWaiting)
		w.WriteHeader(http.StatusProcessing)
		w.Header().Del(fleet.HeaderProgress)
		waits.Store(true)
		<-hold
		then.ServeHTTP(w, q)
	}))
	t.Cleanup(free)
	answer := sendLong(t, r.caller.URL, http.MethodGet, "/")
	for deadline := time.Now().Add(10 * time.Second); !waits.Load() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.True(waits.Load())
	time.Sleep(50 * time.Millisecond) // the ingress is told that it waits
	r.forwarder.AbortWaiting()
	waitForWork(t, work, drainer.LateRequests, 1)
	free()
	is.Equal((<-answer).status, http.StatusOK)
}
