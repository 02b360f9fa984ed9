package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

// TestAnswerOfAnEndedProcessStillArrives guards against giving up an answer that an owner wrote on a
// silent path before its process ended: its kernel sends it again once the path is back.
func TestAnswerOfAnEndedProcessStillArrives(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	r := newRig(t)
	handler, running := working(l)
	link := r.relayTo(r.addOwner("a", handler))
	r.addOwner("b", l)
	go func() {
		<-running
		link.cut()
		time.Sleep(2 * time.Second) // the answer is written after 1 s
		_ = link.listener.Close()
		time.Sleep(time.Second)
		link.resume()
	}()
	response, _ := sendRequest(t, r, "POST", "/refund", "", fleet.HeaderRequestID, "refund")
	is.Equal(l.count("refund"), 1)
	is.Equal(response.StatusCode, http.StatusOK)
}

// TestRequestAtAReplacedOwnerIsNotWaitedFor guards against waiting until the deadline for a process
// whose address a later one has: that one answers that it holds no seal.
func TestRequestAtAReplacedOwnerIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	r := newRig(t)
	handler, running := working(l)
	link := r.relayTo(r.addOwner("a", handler))
	r.addOwner("b", l)
	go func() {
		<-running
		link.silence()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.members, "a")
	}()
	begun := time.Now()
	response, _ := sendRequest(t, r, "POST", "/refund", "", fleet.HeaderRequestID, "refund", fleet.HeaderTimeout, "6000")
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "unknown")
	is.True(time.Since(begun) < 3*time.Second)
}

// TestTwoCutPathsAreNotTwoLostOwners guards against giving a request up as one that kills its owners,
// because the paths to two live ones were cut for a while.
func TestTwoCutPathsAreNotTwoLostOwners(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for _, name := range []string{"a", "b"} {
		var link *relay
		link = r.relayTo(r.addOwner(name, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			link.cut()
			<-q.Context().Done()
		})))
		t.Cleanup(link.resume)
	}
	other := newLedger()
	r.addOwner("c", other)
	response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "lost", fleet.HeaderTimeout, "8000")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(other.count("lost"), 1)
}

// TestTwoPlannedStopsAreNotTwoLostOwners guards against the same where the nodes of two owners end as
// planned while it runs there.
func TestTwoPlannedStopsAreNotTwoLostOwners(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for _, name := range []string{"a", "b"} {
		var o *owner
		o = r.addOwner(name, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			r.mu.Lock()
			r.members[fleet.NodeID(name)] = r.members[fleet.NodeID(name)].WithState(fleet.MemberLeft)
			r.mu.Unlock()
			_ = o.peer.Listener.Close()
			o.peer.CloseClientConnections()
			<-q.Context().Done()
		}))
	}
	other := newLedger()
	r.addOwner("c", other)
	response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "stops", fleet.HeaderTimeout, "8000")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(other.count("stops"), 1)
}
