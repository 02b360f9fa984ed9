package forwarder_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

// TestAbortAnswersWhatWaits guards against queued requests that get no answer when their
// node stops: it fills the slots of the only backend server through one node and aborts
// the request of another node that waits there.
func TestAbortAnswersWhatWaits(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	var running atomic.Int32
	hold := make(chan struct{})
	defer close(hold)
	r.addOwner("a", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running.Add(1)
		<-hold
	}))
	executed := make(chan string, 5)
	send := func(caller string) {
		request, err := http.NewRequest(http.MethodPost, caller+"/refund", nil)
		if err != nil {
			t.Error(err)
			return
		}
		request.Header.Set(fleet.HeaderTimeout, "60000")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			executed <- err.Error()
			return
		}
		response.Body.Close()
		executed <- response.Header.Get(fleet.HeaderExecuted)
	}
	for range 4 {
		go send(r.caller.URL)
	}
	for deadline := time.Now().Add(10 * time.Second); running.Load() < 4 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(running.Load(), int32(4))
	r.addIngress("second")
	go send(r.caller.URL)
	for deadline := time.Now().Add(10 * time.Second); r.forwarder.InFlight() < 1 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // the last request reaches its owner's queue
	r.forwarder.Abort()
	is.Equal(<-executed, "no")
}
