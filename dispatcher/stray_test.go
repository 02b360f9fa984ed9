package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// rawBackend is a backend server that answers with raw bytes. It answers each request with
// its path as the body, and sends a stray answer at a given moment.
type rawBackend struct {
	// framing returns an answer with a body.
	framing func(id, body string) string
	stray   string
	when    string
	// sent is set once the stray answer was sent.
	sent *atomic.Bool
}

// strayAt returns the stray answer if this is its moment, else nothing.
func (b rawBackend) strayAt(moment string) string {
	if moment != b.when || b.sent.Swap(true) {
		return ""
	}
	return b.stray
}

// serve handles the requests of one connection.
func (b rawBackend) serve(c net.Conn) {
	defer c.Close()
	requests := bufio.NewReader(c)
	for served := 0; ; served++ {
		r, err := readRequest(requests)
		if err != nil {
			return
		}
		if served == 1 {
			_, _ = io.WriteString(c, b.strayAt("after the next request"))
		}
		answer := b.framing(r.Header.Get(fleet.HeaderRequestID), r.URL.Path)
		if served == 0 {
			answer += b.strayAt("at once")
		}
		_, _ = io.WriteString(c, answer)
		if served == 0 {
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(c, b.strayAt("after 1 ms"))
		}
	}
}

// readRequest reads a whole request.
func readRequest(requests *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// listen serves connections until the test ends, and returns the address.
func listen(t *testing.T, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().String()
}

func head(status, id string, headers ...string) string {
	lines := append([]string{"HTTP/1.1 " + status}, headers...)
	if id != "" {
		lines = append(lines, fleet.HeaderRequestID+": "+id)
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// TestStrayAnswerIsNeverTheNextRequests sends a second copy of an answer, or another answer
// that nobody asked for, on a connection that is used again. The next request must get its
// own answer or none, and never a proof that it did not run.
func TestStrayAnswerIsNeverTheNextRequests(t *testing.T) {
	framings := map[string]func(id, body string) string{
		"length": func(id, body string) string {
			return head("200 OK", id, fmt.Sprint("Content-Length: ", len(body))) + body
		},
		"chunked": func(id, body string) string {
			return head("200 OK", id, "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
		"no content":   func(id, _ string) string { return head("204 No Content", id) },
		"not modified": func(id, _ string) string { return head("304 Not Modified", id) },
	}
	refusal := []string{"Content-Length: 0", fleet.HeaderExecuted + ": no", fleet.HeaderReason + ": busy"}
	strays := map[string]string{
		"copy":              head("200 OK", "first", "Content-Length: 5") + "/copy",
		"copy without name": head("200 OK", "", "Content-Length: 5") + "/copy",
		"half a copy":       head("200 OK", "first", "Content-Length: 50") + "/copy",
		"half a head":       "HTTP/1.1 200 OK\r\nContent-",
		"refusal":           head("503 Service Unavailable", "first", refusal...),
		"unnamed refusal":   head("503 Service Unavailable", "", refusal...),
		"unnamed failure":   head("500 Internal Server Error", "", "Content-Length: 0"),
		"no answer":         "x\r\n\r\n",
	}
	for framing, frame := range framings {
		for name, stray := range strays {
			for _, when := range []string{"at once", "after 1 ms", "after the next request"} {
				t.Run(strings.Join([]string{framing, name, when}, "/"), func(t *testing.T) {
					is := is.New(t)
					l := newLocal(t)
					l.backend.Address = listen(t, rawBackend{frame, stray, when, new(atomic.Bool)}.serve)
					d := dispatcher.New("node", l, dispatcher.WithRequiredEcho())
					ticket := send(d, "t", "1", "", "false").Header().Get(fleet.HeaderTicket)
					first := send(d, "first", "1", ticket, "false")
					is.Equal(outcome(first), "yes ")
					next := send(d, "next", "1", ticket, "false")
					switch outcome(next) {
					case "yes ":
						is.Equal(next.Code, first.Code)
						is.Equal(next.Body.String(), first.Body.String())
					default:
						is.Equal(outcome(next), "unknown broken")
					}
					is.Equal(outcome(send(d, "later", "1", ticket, "false")), "yes ") // on a new connection
				})
			}
		}
	}
}
