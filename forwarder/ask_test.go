package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

// working returns a backend server that tells that it runs a request, works for a second and
// records it.
func working(l *ledger) (handler http.Handler, running chan struct{}) {
	running = make(chan struct{}, 1)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		running <- struct{}{}
		time.Sleep(time.Second)
		l.ServeHTTP(w, q)
	}), running
}

// TestRequestThatMustRunOnceOutlastsASilentPath guards against giving up a request that must run
// once while its backend server is at work: its answer comes when the path is back.
func TestRequestThatMustRunOnceOutlastsASilentPath(t *testing.T) {
	for name, silence := range map[string]func(*relay){
		"owner answers over fresh connections": (*relay).silence,
		"owner cannot be reached":              (*relay).cut,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := newLedger()
			r := newRig(t)
			handler, running := working(l)
			link := r.relayTo(r.addOwner("a", handler))
			r.addOwner("b", l)
			go func() {
				<-running
				silence(link)
				time.Sleep(2500 * time.Millisecond)
				link.resume()
			}()
			response, _ := sendRequest(t, r, "POST", "/refund", "", fleet.HeaderRequestID, "refund")
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(l.count("refund"), 1)
		})
	}
}

// TestRequestAtAnEndedOwnerIsNotWaitedFor guards against waiting until the deadline for the answer
// of a process that has ended.
func TestRequestAtAnEndedOwnerIsNotWaitedFor(t *testing.T) {
	for name, end := range map[string]func(*rig, *relay){
		"its port is closed": func(_ *rig, link *relay) {
			_ = link.listener.Close()
			link.silence()
		},
		"the fleet holds it for dead": func(r *rig, link *relay) {
			link.cut()
			r.mu.Lock()
			defer r.mu.Unlock()
			r.members["a"] = r.members["a"].WithState(fleet.MemberDead)
		},
		"the fleet has forgotten it": func(r *rig, link *relay) {
			link.cut()
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.members, "a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := newLedger()
			r := newRig(t)
			handler, running := working(l)
			link := r.relayTo(r.addOwner("a", handler))
			r.addOwner("b", l)
			go func() {
				<-running
				end(r, link)
			}()
			begun := time.Now()
			response, _ := sendRequest(t, r, "POST", "/refund", "", fleet.HeaderRequestID, "refund")
			is.Equal(response.Header.Get(fleet.HeaderExecuted), "unknown")
			is.Equal(response.Header.Get(fleet.HeaderReason), "silent")
			is.True(time.Since(begun) < 3*time.Second)
			is.True(l.count("refund") <= 1)
		})
	}
}
