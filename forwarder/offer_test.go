package forwarder_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// servePeer replaces the peer address of an owner by a handler.
func (r *rig) servePeer(o *owner, handler http.Handler) {
	server := httptest.NewServer(handler)
	r.t.Cleanup(server.Close)
	r.mu.Lock()
	defer r.mu.Unlock()
	member := r.members[o.backend.Owner]
	member.PeerAddress = strings.TrimPrefix(server.URL, "http://")
	r.members[o.backend.Owner] = member
}

// TestOwnerThatDiesAfterAnOfferLosesNoRequest kills the connection of an owner at its offer
// and at the request itself. After the offer alone, the request runs elsewhere; a request
// that was sent may have run and is not sent again.
func TestOwnerThatDiesAfterAnOfferLosesNoRequest(t *testing.T) {
	for _, tc := range []struct {
		name, dies, executed string
		runs                 int
	}{
		{"at the offer", dispatcher.OfferPath, "yes", 1},
		{"at the request", dispatcher.PathPrefix + "/", "unknown", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			l := newLedger()
			r := newRig(t)
			a := r.addOwner("a", l)
			r.addOwner("b", l)
			router := chi.NewRouter()
			router.HandleFunc(dispatcher.OfferPath, a.dispatcher.ServeOffer)
			router.Handle(dispatcher.PathPrefix+"/*", a.dispatcher)
			r.servePeer(a, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if strings.HasPrefix(q.URL.Path, tc.dies) {
					panic(http.ErrAbortHandler)
				}
				router.ServeHTTP(w, q)
			}))
			response, _ := sendRequest(t, r, "POST", "/refund", "x", fleet.HeaderRequestID, "once")
			is.Equal(response.Header.Get(fleet.HeaderExecuted), tc.executed)
			is.Equal(l.count("once"), tc.runs)
		})
	}
}

// TestOwnerWithoutOffersGetsTheRequest has an owner of an older version, which does not know
// the path of offers.
func TestOwnerWithoutOffersGetsTheRequest(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	r := newRig(t)
	a := r.addOwner("a", l)
	router := chi.NewRouter()
	router.Handle(dispatcher.PathPrefix+"/*", a.dispatcher)
	r.servePeer(a, router)
	response, _ := sendRequest(t, r, "POST", "/refund", "x", fleet.HeaderRequestID, "once")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(l.count("once"), 1)
}

// TestBodiesGoOnlyToOwnersWithASlot counts the bytes of bodies that reach an owner whose
// backend server takes no work.
func TestBodiesGoOnlyToOwnersWithASlot(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	r := newRig(t)
	a := r.addOwner("a", l)
	b := r.addOwner("b", l)
	a.backend.State = fleet.BackendDraining
	var bodies atomic.Int64
	count := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			bodies.Add(max(q.ContentLength, 0))
			next.ServeHTTP(w, q)
		})
	}
	for _, o := range []*owner{a, b} {
		router := chi.NewRouter()
		router.HandleFunc(dispatcher.OfferPath, o.dispatcher.ServeOffer)
		router.Handle(dispatcher.PathPrefix+"/*", o.dispatcher)
		r.servePeer(o, count(router))
	}
	response, _ := sendRequest(t, r, "POST", "/refund", strings.Repeat("x", 4000), fleet.HeaderRequestID, "once")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(bodies.Load(), int64(4000))
	is.Equal(l.count("once"), 1)
}
