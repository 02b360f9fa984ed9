package forwarder_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/quarantiner"
)

// TestRequestThatIsSuspectOnceItsHedgeHasASlotIsNotHedged guards against a hedge of a request whose crash of a backend server is reported
// to its ingress while the slot of the hedge is being reserved, at an owner that has not heard of it.
func TestRequestThatIsSuspectOnceItsHedgeHasASlotIsNotHedged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	suspects := quarantiner.New(clockwork.NewRealClock())
	r := newTargetedRig(t, forwarder.WithQuarantiner(suspects))
	r.addOwner("a", &slow{work: time.Minute})
	var offers, attempts atomic.Int32
	r.servePeer(r.addOwner("b", newLedger()), http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch {
		case q.URL.Path == dispatcher.OfferPath:
			offers.Add(1)
			suspects.RecordReport("crashed", []string{q.Header.Get(fleet.HeaderIdentity)})
		case strings.HasPrefix(q.URL.Path, dispatcher.PathPrefix):
			attempts.Add(1)
		}
		answerAsOwner(w, q, fleet.ReasonOffered)
	}))
	status, executed, _ := stopIngressUnder(t, r, "GET", "/")
	is.Equal(status, http.StatusGatewayTimeout)
	is.Equal(executed, string(fleet.ExecutedUnknown))
	is.Equal(offers.Load(), int32(1))
	is.Equal(attempts.Load(), int32(0))
}

// TestRequestThatLostAnOwnerOnceItsHedgeHasASlotIsNotHedged guards against a request that kills VMs and loses two more at once, as its
// first owner is declared dead while the slot of its hedge is being reserved.
func TestRequestThatLostAnOwnerOnceItsHedgeHasASlotIsNotHedged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newLossPlay(t, "", "")
	p.rig.setPeer("c", httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == dispatcher.OfferPath {
			p.play("silent")
		}
		p.third.ServeHTTP(w, q)
	})))
	status, _, _ := stopIngressUnder(t, p.rig, "GET", "/")
	is.Equal(status, http.StatusGatewayTimeout)
	is.Equal(p.second.began.Load(), int32(1))
	is.Equal(p.third.began.Load(), int32(0))
	is.Equal(p.fourth.began.Load(), int32(0))
}
