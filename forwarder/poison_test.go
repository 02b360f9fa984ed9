package forwarder_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

// fragile is a backend server that crashes on requests for /refund/poison, together with
// all others in its slots.
type fragile struct {
	mu    sync.Mutex
	owner *owner
	dead  chan struct{}
	// waiting receives a value for each request that stays in its slot until the crash.
	waiting chan struct{}
}

func (f *fragile) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasSuffix(r.URL.Path, "/poison"):
		f.mu.Lock()
		defer f.mu.Unlock()
		select {
		case <-f.dead:
		default:
			_ = f.owner.server.Listener.Close()
			close(f.dead)
		}
		panic(http.ErrAbortHandler)
	case r.Header.Get("Stay") != "":
		f.waiting <- struct{}{}
		<-f.dead
		panic(http.ErrAbortHandler)
	default:
		echo(w, r)
	}
}

func (f *fragile) isDead() bool {
	select {
	case <-f.dead:
		return true
	default:
		return false
	}
}

// TestPoisonTakesOutTwoBackendServers sends one request repeatedly through two nodes; a
// harmless request is in a slot beside it at the first crash.
func TestPoisonTakesOutTwoBackendServers(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	var backends []*fragile
	for _, name := range []string{"a", "b", "c", "d"} {
		f := &fragile{dead: make(chan struct{}), waiting: make(chan struct{}, 1)}
		f.owner = r.addOwner(name, f)
		backends = append(backends, f)
	}
	harmless := make(chan string)
	go func() {
		response, _ := sendRequest(t, r, "GET", "/innocent", "", "Stay", "yes")
		harmless <- response.Header.Get(fleet.HeaderReason)
	}()
	<-backends[0].waiting
	response, _ := sendRequest(t, r, "POST", "/refund/poison", "")
	is.Equal(response.Header.Get(fleet.HeaderReason), "crash")
	is.Equal(<-harmless, "crash")

	r.addIngress("second")
	response, _ = sendRequest(t, r, "POST", "/refund/poison", "")
	is.Equal(response.Header.Get(fleet.HeaderReason), "crash")
	for range 3 {
		response, _ = sendRequest(t, r, "POST", "/refund/poison", "")
		is.Equal(response.Header.Get(fleet.HeaderExecuted), "no")
		is.Equal(response.Header.Get(fleet.HeaderReason), "poison")
	}
	for range 3 {
		response, _ = sendRequest(t, r, "GET", "/innocent", "")
		is.Equal(response.StatusCode, 200)
	}
	dead := 0
	for _, f := range backends {
		if f.isDead() {
			dead++
		}
	}
	is.Equal(dead, 2)
}
