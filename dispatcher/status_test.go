package dispatcher_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// TestInvalidStatusIsUnknown guards against a status that is none, or no final one, and reaches
// the caller or breaks its connection.
func TestInvalidStatusIsUnknown(t *testing.T) {
	for status, code := range map[string]int{
		"000": http.StatusBadGateway, "099": http.StatusBadGateway, "20": http.StatusBadGateway, "1000": http.StatusBadGateway,
		"-20": http.StatusBadGateway, "+20": http.StatusBadGateway, "abc": http.StatusBadGateway, "0": http.StatusBadGateway,
		"101": http.StatusBadGateway, "600": http.StatusBadGateway, "999": http.StatusBadGateway,
		"200": http.StatusOK, "404": http.StatusNotFound, "599": 599,
	} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			l := newLocal(t)
			frame := func(id, body string) string {
				if id == "next" {
					return head("200 OK", id, "Content-Length: 0")
				}
				return head(status+" Text", id, "Content-Length: 0")
			}
			l.backend.Address = listen(t, rawBackend{framing: frame, sent: new(atomic.Bool)}.serve)
			d := dispatcher.New("node", l, dispatcher.WithRequiredEcho())
			node := httptest.NewServer(d)
			defer node.Close()
			ticket := send(d, "t", "1", "", "false").Header().Get(fleet.HeaderTicket)
			answer := sendOver(t, node.URL, "r", ticket)
			want := "unknown broken"
			if code != http.StatusBadGateway {
				want = "yes "
			}
			is.Equal(answer.Header.Get(fleet.HeaderExecuted)+" "+answer.Header.Get(fleet.HeaderReason), want)
			is.Equal(answer.StatusCode, code)
			is.Equal(sendOver(t, node.URL, "next", ticket).StatusCode, http.StatusOK)
		})
	}
}

// sendOver sends an attempt to a node over HTTP.
func sendOver(t *testing.T, url, id, ticket string) *http.Response {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequest(http.MethodPost, url+dispatcher.PathPrefix+"/refund", strings.NewReader("x"))
	is.NoErr(err)
	r.Header = request(id, "1", ticket, "false").Header
	answer, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	is.NoErr(answer.Body.Close())
	return answer
}
