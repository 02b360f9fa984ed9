package forwarder_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
)

// TestRestartedOwnerIsToldTheLimitBeforeItSendsARequest restarts an owner whose backend server
// names one request a second. Requests of either kind go to another backend server meanwhile.
func TestRestartedOwnerIsToldTheLimitBeforeItSendsARequest(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var arrived, elsewhere atomic.Int32
			r := newRig(t, forwarder.WithNoWaitAttempts(2))
			a := r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				arrived.Add(1)
				w.Header().Set(fleet.HeaderLimit, "0.001")
			}))
			r.addOwner("b", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { elsewhere.Add(1) }))
			response, _ := sendRequest(t, r, method, "/refund", "x")
			is.Equal(response.Header.Get(fleet.HeaderExecuted), "yes")
			is.Equal(arrived.Load(), int32(1))
			restarted := dispatcher.New(a.backend.Owner, a)
			router := chi.NewRouter()
			router.Handle(dispatcher.PathPrefix+"/*", restarted)
			router.HandleFunc(dispatcher.OfferPath, restarted.ServeOffer)
			r.servePeer(a, router)
			for range 5 {
				response, _ = sendRequest(t, r, method, "/refund", "x")
				is.Equal(response.Header.Get(fleet.HeaderExecuted), "yes")
			}
			is.Equal(arrived.Load(), int32(1))
			is.Equal(elsewhere.Load(), int32(5))
		})
	}
}
