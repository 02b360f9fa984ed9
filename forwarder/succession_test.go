package forwarder_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/retrier"
)

// sendAtSilentOwner sends a read to the owner a, whose path falls silent for a time once its backend
// server is at work. It returns the status that the caller got and after how long.
func sendAtSilentOwner(t *testing.T, r *rig, a *owner, running chan struct{}, silent time.Duration) (status int, took time.Duration) {
	t.Helper()
	link := r.relayTo(a)
	go func() {
		<-running
		link.silence()
		time.Sleep(silent)
		link.resume()
	}()
	begun := time.Now()
	response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "read")
	return response.StatusCode, time.Since(begun)
}

// TestReadAtASilentOwnerIsKeptWhileNoOwnerPaysForItsRetry guards against giving up a request at work
// before another attempt is certain: the retry budgets of the ingress and of all owners are spent.
func TestReadAtASilentOwnerIsKeptWhileNoOwnerPaysForItsRetry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, other := newLedger(), newLedger()
	r := newRig(t, forwarder.WithRetrier(noBudget()))
	handler, running := working(l)
	a := r.addOwner("a", handler)
	for i := range 3 {
		r.addOwner(fmt.Sprint("other-", i), other)
	}
	status, _ := sendAtSilentOwner(t, r, a, running, 1500*time.Millisecond)
	is.Equal(status, http.StatusOK)
	is.Equal(l.count("read"), 1)
	is.Equal(other.total(), 0)
}

// TestReadAtASilentOwnerGoesToAnotherThatHasASlot guards against waiting for a silent owner until the
// deadline, and against charging its retry to no budget or to two.
func TestReadAtASilentOwnerGoesToAnotherThatHasASlot(t *testing.T) {
	for name, tc := range map[string]struct {
		ingress       *retrier.Retrier
		owners        *fixedBudget
		ingressLeft   float64
		ownersCharged float64
	}{
		"the ingress pays":    {retrier.New(retrier.WithBudget(0, 5)), &fixedBudget{left: 1}, 4, 0},
		"the next owner pays": {noBudget(), &fixedBudget{left: 1}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			other := newLedger()
			r := newRig(t, forwarder.WithRetrier(tc.ingress))
			handler, running, hold := holding()
			defer close(hold)
			a := r.addOwner("a", handler)
			r.addOwner("b", other, dispatcher.WithRetryBudget(tc.owners))
			status, took := sendAtSilentOwner(t, r, a, running, 5*time.Second)
			is.Equal(status, http.StatusOK)
			is.True(took < 2*time.Second)
			is.Equal(other.count("read"), 1)
			is.Equal(tc.ingress.Remaining("ledger"), tc.ingressLeft)
			is.Equal(tc.owners.charged, tc.ownersCharged)
		})
	}
}

// TestReadAtASilentOwnerGoesToAnotherOnceItHasASlot guards against giving up a request while the
// other owners are full, and against asking them only once.
func TestReadAtASilentOwnerGoesToAnotherOnceItHasASlot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const slots, full = 4, 1500 * time.Millisecond
	other := newLedger()
	budget := retrier.New(retrier.WithBudget(0, 5))
	r := newRig(t, forwarder.WithRetrier(budget))
	filled, release := make(chan struct{}, slots), make(chan struct{})
	b := r.addOwner("b", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/fill" {
			filled <- struct{}{}
			<-release
		}
		other.ServeHTTP(w, q)
	}))
	var fills sync.WaitGroup
	for range slots {
		fills.Go(func() { sendRequest(t, r, "GET", "/fill", "") })
	}
	for range slots {
		<-filled
	}
	handler, running, hold := holding()
	defer close(hold)
	a := r.addOwner("a", handler)
	r.mu.Lock()
	slices.Reverse(r.backends) // the picker takes the first
	r.mu.Unlock()
	queued := make(chan int, 1)
	time.AfterFunc(full, func() {
		_, waiting := b.dispatcher.Load(b.backend.ID)
		queued <- waiting
		close(release)
	})
	status, took := sendAtSilentOwner(t, r, a, running, 8*time.Second)
	fills.Wait()
	is.Equal(status, http.StatusOK)
	is.Equal(<-queued, 0) // it was not given up to wait there
	is.True(took > full-200*time.Millisecond)
	is.True(took < 4*time.Second)
	is.Equal(other.count("read"), 1)
	is.Equal(budget.Remaining("ledger"), 4.0)
}

// TestReadAtAnOwnerOfAnEarlierBuildIsSentAgain guards against waiting until the deadline where the
// other owners do not know offers, and against a retry that none of them charges.
func TestReadAtAnOwnerOfAnEarlierBuildIsSentAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	other := newLedger()
	r := newRig(t, forwarder.WithRetrier(noBudget()))
	handler, running, hold := holding()
	defer close(hold)
	a := r.addOwner("a", handler)
	available := &fixedBudget{left: 1}
	b := r.addOwner("b", other, dispatcher.WithRetryBudget(available))
	router := http.NewServeMux()
	router.Handle(dispatcher.PathPrefix+"/", b.dispatcher)
	r.servePeer(b, router)
	status, took := sendAtSilentOwner(t, r, a, running, 5*time.Second)
	is.Equal(status, http.StatusOK)
	is.True(took < 2*time.Second)
	is.Equal(other.count("read"), 1)
	is.Equal(available.charged, 1.0)
}
