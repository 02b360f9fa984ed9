package forwarder_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// TestIngressToldOfADepartureSendsNothingThroughARestartedOwner has the next start of the owner
// take the backend server as ready again.
func TestIngressToldOfADepartureSendsNothingThroughARestartedOwner(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int32
	r := newRig(t)
	a := r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set(fleet.HeaderLeaving, "true")
	}))
	response, _ := sendRequest(t, r, "GET", "/", "")
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "yes")
	a.backend.Left, a.backend.State = false, fleet.BackendReady
	restarted := dispatcher.New(a.backend.Owner, a)
	router := chi.NewRouter()
	router.Handle(dispatcher.PathPrefix+"/*", restarted)
	router.HandleFunc(dispatcher.OfferPath, restarted.ServeOffer)
	r.servePeer(a, router)
	for _, method := range []string{"GET", "POST"} {
		response, _ = sendRequest(t, r, method, "/refund", "x")
		is.Equal(response.Header.Get(fleet.HeaderReason), "nobackend")
	}
	is.Equal(arrived.Load(), int32(1))
}
