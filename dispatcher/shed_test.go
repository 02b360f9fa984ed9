package dispatcher_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// TestShedByBackendServerIsNotRun covers a backend server without a free slot, which
// reports that it did not run the request.
func TestShedByBackendServerIsNotRun(t *testing.T) {
	is := is.New(t)
	executed := fleet.ExecutedNo
	shedding := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(fleet.HeaderExecuted, string(executed))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer shedding.Close()
	l := newLocal(t)
	l.backend.Address = strings.TrimPrefix(shedding.URL, "http://")
	d := dispatcher.New("node", l)
	ticket := send(d, "r", "1", "", "false").Header().Get(fleet.HeaderTicket)
	is.Equal(outcome(send(d, "r", "1", ticket, "false")), "no busy")
	executed = ""
	is.Equal(outcome(send(d, "s", "1", ticket, "false")), "yes ") // any other error is an answer
}
