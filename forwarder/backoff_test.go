package forwarder_test

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

// mute drops everything that is sent to a node.
func (r *rig) mute(name fleet.NodeID) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { listener.Close() })
	r.mu.Lock()
	defer r.mu.Unlock()
	member := r.members[name]
	member.PeerAddress = listener.Addr().String()
	r.members[name] = member
}

// await waits until an event of a kind is recorded and returns its index among all.
func (r *rig) await(kind fleet.EventKind) int {
	for {
		r.mu.Lock()
		i := slices.IndexFunc(r.events, func(e fleet.Event) bool { return e.Kind == kind })
		r.mu.Unlock()
		if i >= 0 {
			return i
		}
	}
}

// TestSilentNodeIsInBackoffBeforeARequestIsAbandoned loses one request on its path: the
// next ones must not be sent there in the time until it is found lost. A request that was
// only offered goes to the other node; a large one, which is sent at once, may still be answered and
// is waited for until its deadline.
func TestSilentNodeIsInBackoffBeforeARequestIsAbandoned(t *testing.T) {
	for _, tc := range []struct {
		name, body, executed, reason string
		runs                         int
	}{
		{"offered", "x", "yes", "", 1},
		{"sent", strings.Repeat("x", 20_000), "unknown", "deadline", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			l := newLedger()
			r := newRig(t)
			r.addOwner("a", l)
			r.addOwner("b", l)
			r.mute("a")
			lost := make(chan *http.Response)
			go func() {
				response, _ := sendRequest(t, r, "POST", "/refund", tc.body, fleet.HeaderRequestID, "lost", fleet.HeaderTimeout, "2000")
				lost <- response
			}()
			backedOff := r.await(fleet.EventReachability)
			response, _ := sendRequest(t, r, "POST", "/refund", "x", fleet.HeaderRequestID, "next")
			is.Equal(response.StatusCode, 200)
			response = <-lost
			is.Equal(response.Header.Get(fleet.HeaderExecuted), tc.executed)
			is.Equal(response.Header.Get(fleet.HeaderReason), tc.reason)
			is.True(backedOff < r.await(fleet.EventStalled))
			is.Equal(l.count("next"), 1)
			is.Equal(l.count("lost"), tc.runs)
		})
	}
}
