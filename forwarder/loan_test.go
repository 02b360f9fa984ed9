package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/retrier"
)

// purse pays as long as there is something in it.
type purse struct{ left, lent float64 }

func (p *purse) Lend(_ fleet.ServiceName, owed float64) bool {
	if p.left < owed {
		return false
	}
	p.left -= owed
	p.lent += owed
	return true
}

// TestOwnersPayForRetriesThatTheIngressCannot has one backend server fail everything while
// the ingress has no retry budget; another owner pays for one retry, then nobody does.
func TestOwnersPayForRetriesThatTheIngressCannot(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	spent := retrier.New(retrier.WithLoans(), retrier.WithAllowance(func() retrier.Allowance {
		return retrier.Allowance{Window: time.Second, Reached: 1, Ran: 1}
	}))
	r := newRig(t, forwarder.WithRetrier(spent), forwarder.WithRepeatErrors())
	r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	r.addOwner("b", l) // pays for nothing
	rich := &purse{left: 1}
	r.addOwner("c", l, dispatcher.WithLender(rich))
	response, _ := ask(t, r, "GET", "/", "", fleet.HeaderRequest, "paid")
	is.Equal(response.StatusCode, 200)
	is.Equal(l.count("paid"), 1)
	is.Equal(rich.lent, 1.0)
	response, _ = ask(t, r, "GET", "/", "", fleet.HeaderRequest, "unpaid")
	is.Equal(response.StatusCode, http.StatusInternalServerError) // the backend server's own answer
	is.Equal(l.count("unpaid"), 0)
	response, _ = ask(t, r, "POST", "/refund", "", fleet.HeaderRequest, "once")
	is.Equal(response.StatusCode, http.StatusInternalServerError) // nothing unsafe is sent again
	is.Equal(l.count("once"), 0)
}
