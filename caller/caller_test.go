package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

var kind = Kind{Name: "refund", Method: http.MethodPost, Path: "/refunds", Size: 16, Timeout: 50 * time.Millisecond}

func answer(w http.ResponseWriter, r *http.Request, executed fleet.Executed, status int, body string) {
	w.Header().Set(fleet.HeaderExecuted, string(executed))
	w.Header().Set(fleet.HeaderRequestID, r.Header.Get(fleet.HeaderRequestID))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// send sends one request to a node that responds with handler.
func send(t *testing.T, handler http.HandlerFunc) Record {
	t.Helper()
	node := httptest.NewServer(handler)
	defer node.Close()
	address := strings.TrimPrefix(node.URL, "http://")
	// The first node accepts no connection and is skipped.
	c := New([]string{"127.0.0.1:1", address}, []Kind{kind}, WithSlack(50*time.Millisecond), WithKeys())
	record := c.Send(kind)
	is.New(t).Equal(c.Records(), []Record{record})
	return record
}

func TestSendRecordsEachResult(t *testing.T) {
	body := strings.Repeat("b", kind.Size)
	cases := []struct {
		name    string
		handler http.HandlerFunc
		result  Result
		own     bool
	}{
		{"own answer", func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(fleet.HeaderRequestID)
			answer(w, r, fleet.ExecutedYes, 200, `{"request":"`+id+`","sum":"`+server.Sum(id, []byte(body))+`"}`)
		}, ResultAnswered, true},
		{"answer to another request", func(w http.ResponseWriter, r *http.Request) {
			answer(w, r, fleet.ExecutedYes, 200, `{"request":"other","sum":"1"}`)
		}, ResultAnswered, false},
		{"answer to another body", func(w http.ResponseWriter, r *http.Request) {
			answer(w, r, fleet.ExecutedYes, 200, `{"request":"`+r.Header.Get(fleet.HeaderRequestID)+`","sum":"1"}`)
		}, ResultAnswered, false},
		{"error of the backend server", func(w http.ResponseWriter, r *http.Request) {
			answer(w, r, fleet.ExecutedYes, 500, "internal")
		}, ResultAnswered, true},
		{"refused", func(w http.ResponseWriter, r *http.Request) {
			answer(w, r, fleet.ExecutedNo, 503, "")
		}, ResultRefused, false},
		{"unknown", func(w http.ResponseWriter, r *http.Request) {
			answer(w, r, fleet.ExecutedUnknown, 504, "")
		}, ResultUnknown, false},
		{"no outcome reported", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
		}, ResultBroken, false},
		{"truncated answer", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			answer(w, r, fleet.ExecutedYes, 200, "part")
			panic(http.ErrAbortHandler)
		}, ResultBroken, false},
		{"silence", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, ResultSilent, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			record := send(t, tc.handler)
			is.Equal(record.Result, tc.result)
			is.Equal(record.Own, tc.own)
			is.True(record.Key != "")
		})
	}
}

func TestNoNodeIsUnsent(t *testing.T) {
	c := New([]string{"127.0.0.1:1"}, []Kind{kind})
	is.New(t).Equal(c.Send(kind).Result, ResultUnsent)
}
