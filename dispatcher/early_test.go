package dispatcher_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// uploadSize is more than the buffers of both ends hold, in bytes.
	uploadSize = 12 << 20
	// earlySends is how often each case is sent, as its outcome depends on what is noticed first.
	earlySends = 20
)

// TestCutEarlyAnswerIsUnknown guards against a cut answer to a request that is still being sent,
// which the caller gets as a whole one, and against whole ones that are lost.
func TestCutEarlyAnswerIsUnknown(t *testing.T) {
	const body = "too large"
	length := fmt.Sprint("Content-Length: ", len(body))
	reset := func(c *net.TCPConn, _ io.Reader) {
		time.Sleep(10 * time.Millisecond) // the answer is being read
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	end := func(c *net.TCPConn, _ io.Reader) { _ = c.CloseWrite() }
	readRest := func(_ *net.TCPConn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest) }
	for name, tc := range map[string]struct {
		status  string
		headers []string
		end     func(c *net.TCPConn, rest io.Reader)
		outcome string
		code    int
	}{
		"no length, reset": {"200 OK", nil, reset, "unknown broken", http.StatusBadGateway},
		"no length, end":   {"200 OK", nil, end, "unknown broken", http.StatusBadGateway},
		"length":           {"413 Content Too Large", []string{length}, readRest, "yes ", http.StatusRequestEntityTooLarge},
		"refusal": {
			"503 Service Unavailable", []string{length, fleet.HeaderExecuted + ": no", fleet.HeaderReason + ": busy"}, readRest,
			"no busy", http.StatusServiceUnavailable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := newLocal(t)
			l.backend.Address = listen(t, func(c net.Conn) {
				t.Cleanup(func() { _ = c.Close() })
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return // a probe
				}
				_, _ = io.CopyN(io.Discard, r.Body, 1<<10)
				_, _ = io.WriteString(c, head(tc.status, r.Header.Get(fleet.HeaderRequestID), append(tc.headers, "Connection: close")...)+body)
				tc.end(c.(*net.TCPConn), r.Body)
			})
			d := dispatcher.New("node", l, dispatcher.WithUndelimitedAnswers(), dispatcher.WithMaxBodySize(uploadSize))
			ticket := send(d, "t", "1", "", "false").Header().Get(fleet.HeaderTicket)
			content := make([]byte, uploadSize)
			for i := range earlySends {
				r := request(fmt.Sprint("r", i), "1", ticket, "false")
				r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(content)), uploadSize
				w := httptest.NewRecorder()
				d.ServeHTTP(finalRecorder{w}, r)
				is.Equal(outcome(w), tc.outcome)
				is.Equal(w.Code, tc.code)
			}
		})
	}
}
