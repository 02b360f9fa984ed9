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

// TestNoRequestFollowsAnAnswerThatSaysLeaving has a backend server say in an answer that it
// leaves, after an answer to another request said so for it.
func TestNoRequestFollowsAnAnswerThatSaysLeaving(t *testing.T) {
	is := is.New(t)
	ran, leaving, answers := 0, "true", "another"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran++
		w.Header().Set(fleet.HeaderRequestID, answers+r.Header.Get(fleet.HeaderRequestID))
		w.Header().Set(fleet.HeaderLeaving, leaving)
	}))
	defer server.Close()
	l := newLocal(t)
	l.backend.Address = strings.TrimPrefix(server.URL, "http://")
	d := dispatcher.New("node", l)
	ticket := send(d, "r", "1", "", "false").Header().Get(fleet.HeaderTicket)
	is.Equal(outcome(send(d, "r0", "1", ticket, "false")), "unknown broken")
	answers, leaving = "", ""
	is.Equal(outcome(send(d, "r1", "1", ticket, "false")), "yes ")
	leaving = "true"
	last := send(d, "r2", "1", ticket, "false")
	is.Equal(outcome(last), "yes ")
	is.Equal(last.Header().Get(fleet.HeaderLeaving), "true")
	refused := send(d, "r3", "1", ticket, "false")
	is.Equal(outcome(refused), "no draining")
	is.Equal(refused.Header().Get(fleet.HeaderLeaving), "true")
	is.Equal(outcome(offer(d, "r4", "1")), "no draining")
	is.Equal(ran, 3)
}
