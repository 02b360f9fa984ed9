package forwarder_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// statusWriter answers with a status in place of 200.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w statusWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		status = w.status
	}
	w.ResponseWriter.WriteHeader(status)
}

// TestInvalidStatusNeverReachesTheCaller guards against a switch of protocols that nobody asked
// for, or a status of no class, from a backend server or from an owner that does not check them.
func TestInvalidStatusNeverReachesTheCaller(t *testing.T) {
	for _, status := range []int{http.StatusSwitchingProtocols, 600, 999} {
		for _, byOwner := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/owner=%t", status, byOwner), func(t *testing.T) {
				is := is.New(t)
				r := newRig(t)
				backendStatus := status
				if byOwner {
					backendStatus = http.StatusOK
				}
				o := r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(backendStatus)
				}))
				if byOwner {
					r.setPeer("a", httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
						if strings.HasPrefix(request.URL.Path, dispatcher.PathPrefix) {
							w = statusWriter{w, status}
						}
						o.peer.Config.Handler.ServeHTTP(w, request)
					})))
				}
				answer, err := http.Get(r.caller.URL + "/single")
				is.NoErr(err)
				is.NoErr(answer.Body.Close())
				is.Equal(answer.StatusCode, http.StatusBadGateway)
				is.Equal(answer.Header.Get(fleet.HeaderExecuted), string(fleet.ExecutedUnknown))
				is.Equal(answer.Header.Get(fleet.HeaderReason), string(fleet.ReasonBroken))
			})
		}
	}
}

// setPeer serves a node's peer address by another server until the test ends.
func (r *rig) setPeer(name fleet.NodeID, peer *httptest.Server) {
	r.t.Cleanup(peer.Close)
	r.mu.Lock()
	defer r.mu.Unlock()
	member := r.members[name]
	member.PeerAddress = strings.TrimPrefix(peer.URL, "http://")
	r.members[name] = member
}
