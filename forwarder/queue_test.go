package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/retrier"
)

// TestRequestLeavesTheQueueOfAStoppingOwnerForAReservedSlot guards against a request that begins in the queue of an owner
// that was told to stop meanwhile, whose end cuts it too late for another run, while another owner has a slot.
func TestRequestLeavesTheQueueOfAStoppingOwnerForAReservedSlot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	budget := retrier.New()
	r := newRig(t, forwarder.WithRetrier(budget), forwarder.WithNoWaitAttempts(1))
	stopping, running := newLedger(), newLedger()
	held, release := make(chan struct{}, 4), make(chan struct{})
	a := r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if strings.HasPrefix(q.Header.Get(fleet.HeaderRequestID), "held") {
			held <- struct{}{}
			<-release
		}
		stopping.ServeHTTP(w, q)
	}))
	for i := range 20 {
		sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, fmt.Sprint("quick", i))
	}
	var sent sync.WaitGroup
	for i := range a.backend.Slots {
		sent.Go(func() { sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, fmt.Sprint("held", i)) })
		<-held
	}
	const free = time.Second
	began, left := time.Now(), budget.Remaining("ledger")
	b := r.addOwner("b", running)
	r.servePeer(b, busyUntil(began.Add(free), peerHandler(b.dispatcher)))
	stop := time.AfterFunc(100*time.Millisecond, func() {
		a.dispatcher.Stop(began.Add(5100*time.Millisecond), began.Add(5900*time.Millisecond))
	})
	defer stop.Stop()
	response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "waits", fleet.HeaderTimeout, "8000")
	took := time.Since(began)
	close(release)
	sent.Wait()
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(running.count("waits"), 1)
	is.Equal(stopping.count("waits"), 0)
	is.True(took > free-50*time.Millisecond)
	is.True(took < 3*time.Second)
	is.True(budget.Remaining("ledger") >= left) // it has not run, so that this was no retry
}
