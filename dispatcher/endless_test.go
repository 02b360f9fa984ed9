package dispatcher_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// endless answers a request with bytes that never end, until its connection is closed.
func endless(t *testing.T, begin, repeat string) (address string, closed <-chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(begin, "ID", r.Header.Get(fleet.HeaderRequestID)))
		for err == nil {
			_, err = io.WriteString(c, repeat)
		}
	}()
	return listener.Addr().String(), done
}

// TestBytesWithoutEndAreCutOff has a backend server send bytes that are no answer, or an
// answer, without end. The connection is closed, the request is never told as a complete
// success, and the memory stays within its bound.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	const id = fleet.HeaderRequestID + ": ID\r\n"
	part := strings.Repeat("x", 1000)
	for name, tc := range map[string]struct{ begin, repeat string }{
		"garbage":           {"", "\x00\x01 no answer "},
		"one header line":   {"HTTP/1.1 200 OK\r\nX-Long: ", part},
		"many header lines": {"HTTP/1.1 200 OK\r\n" + id, "X-More: " + part + "\r\n"},
		"interim answers":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"chunks":            {"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + part + "\r\n"},
		"one chunk size":    {"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n", "0000"},
		"no length":         {"HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\n\r\n", part},
		"trailers":          {"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + part + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLocal(t)
			address, closed := endless(t, tc.begin, tc.repeat)
			l.backend.Address = address
			memory := accountant.New(1 << 20)
			d := dispatcher.New("node", l, dispatcher.WithUndelimitedAnswers(), dispatcher.WithMemory(memory), dispatcher.WithMaxAnswerSize(100_000))
			ticket := send(d, "t", "1", "", "false").Header().Get(fleet.HeaderTicket)
			node := httptest.NewServer(d)
			defer node.Close()
			request, err := http.NewRequest(http.MethodPost, node.URL+dispatcher.PathPrefix+"/refund", strings.NewReader("x"))
			is.NoErr(err)
			for name, value := range map[string]string{
				fleet.HeaderRequestID: "endless", fleet.HeaderBackend: "backend", fleet.HeaderAttempt: "1",
				fleet.HeaderTicket: ticket, fleet.HeaderTimeout: "300", fleet.HeaderWeight: "1",
				fleet.HeaderIdempotent: "false", fleet.HeaderIdentity: "identity",
			} {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				var body []byte
				body, err = io.ReadAll(response.Body)
				is.True(memory.Reserved() <= 1<<20)
				is.True(len(body) > 0)
				is.NoErr(response.Body.Close())
			}
			complete := err == nil && response.Header.Get(fleet.HeaderExecuted) == string(fleet.ExecutedYes)
			is.True(!complete)
			<-closed
			node.Close()
			is.Equal(memory.Reserved(), int64(0))
		})
	}
}
