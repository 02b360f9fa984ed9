package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/forwarder"
)

// waitForWork waits until this much work of a kind is in flight.
func waitForWork(t *testing.T, work *drainer.Drainer, kind drainer.Kind, count int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); work.InFlight(kind) != count; {
		if time.Now().After(deadline) {
			t.Fatalf("%s, expected %d of %s", work.Summary(), count, kind)
		}
		time.Sleep(time.Millisecond)
	}
}

// waitForQueue waits until this many attempts wait for a slot of an owner's backend server.
func waitForQueue(t *testing.T, o *owner, count int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		_, waiting := o.dispatcher.Load(o.backend.ID)
		if waiting == count {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d attempts wait for a slot, expected %d", waiting, count)
		}
	}
}

// drain closes callers' requests and attempts, and returns a channel that gets the result of
// the wait for them. It must not have ended yet.
func drain(t *testing.T, work *drainer.Drainer) <-chan error {
	t.Helper()
	work.Close(drainer.Requests, drainer.Attempts, drainer.Offers)
	done := make(chan error, 1)
	go func() { done <- work.Wait(context.Background()) }()
	select {
	case err := <-done:
		t.Fatalf("the node stops waiting although work is in flight: %v", err)
	case <-time.After(30 * time.Millisecond):
	}
	return done
}

// TestStreamedAnswerIsWorkInFlight guards against a shutdown that cuts an answer which is too
// large to be held: at the ingress, and at the owner that relays it.
func TestStreamedAnswerIsWorkInFlight(t *testing.T) {
	is := is.New(t)
	work := drainer.New()
	release := make(chan struct{})
	r := newRig(t, forwarder.WithMaxAnswerSize(1000), forwarder.WithDrainer(work))
	r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 50_000))
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = w.Write(make([]byte, 50_000))
	}), dispatcher.WithMaxAnswerSize(1000), dispatcher.WithDrainer(work))
	response, err := http.Get(r.caller.URL + "/")
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(work.InFlight(drainer.Requests), 1)
	is.Equal(work.InFlight(drainer.Attempts), 1)
	done := drain(t, work)
	close(release)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(len(body), 100_000)
	is.NoErr(<-done)
}

// TestArrivingUploadIsWorkInFlight guards against a shutdown that cuts an upload whose head
// came before it: it arrives, runs and is answered.
func TestArrivingUploadIsWorkInFlight(t *testing.T) {
	is := is.New(t)
	work, l := drainer.New(), newLedger()
	r := newRig(t, forwarder.WithDrainer(work))
	r.addOwner("a", l)
	c, err := net.Dial("tcp", strings.TrimPrefix(r.caller.URL, "http://"))
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /refund HTTP/1.1\r\nHost: h\r\nCowsliptally-Request: upload\r\nConnection: close\r\nContent-Length: 6\r\n\r\nabc")
	is.NoErr(err)
	waitForWork(t, work, drainer.Requests, 1)
	done := drain(t, work)
	_, err = io.WriteString(c, "def")
	is.NoErr(err)
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 200 OK"))
	is.Equal(l.count("upload"), 1)
	is.NoErr(<-done)
}

// TestWaitingOfferIsWorkInFlight guards against a shutdown that does not wait for offers which
// wait for a slot: the drain refuses them with proof that the request did not run.
func TestWaitingOfferIsWorkInFlight(t *testing.T) {
	is := is.New(t)
	work, l := drainer.New(), newLedger()
	arrived, released := make(chan struct{}, 5), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release() // also if the test fails, or the servers do not close
	r := newRig(t)
	o := r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		arrived <- struct{}{}
		<-released
		l.ServeHTTP(w, q)
	}), dispatcher.WithDrainer(work))
	var group sync.WaitGroup
	statuses := make(chan string, 5)
	send := func(id int) {
		group.Go(func() {
			response, _ := sendRequest(t, r, "POST", "/refund", fmt.Sprint(id))
			statuses <- response.Header.Get("Cowsliptally-Executed")
		})
	}
	for id := range o.backend.Slots {
		send(id)
	}
	for range o.backend.Slots {
		<-arrived
	}
	send(o.backend.Slots)
	waitForQueue(t, o, 1)
	is.Equal(work.InFlight(drainer.Offers), 1)
	is.Equal(work.InFlight(drainer.Attempts), 4)
	o.dispatcher.Drain()
	is.Equal(<-statuses, "no")
	waitForWork(t, work, drainer.Offers, 0)
	release()
	group.Wait()
	for range 4 {
		is.Equal(<-statuses, "yes")
	}
	is.NoErr(o.dispatcher.Shutdown(context.Background()))
}
