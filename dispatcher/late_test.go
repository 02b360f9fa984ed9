package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// lateBackend answers each request with its identifier. For the second one on a connection, it
// sends parts that begin with late answers, with a pause after each.
type lateBackend struct {
	framing func(id, body string) string
	parts   func(first, own string) []string
	pause   time.Duration

	mu sync.Mutex
	// ran counts the runs by request, and connections the connections with a run.
	ran         map[string]int
	connections int
}

func (b *lateBackend) serve(c net.Conn) {
	defer c.Close()
	requests := bufio.NewReader(c)
	first := ""
	for {
		r, err := readRequest(requests)
		if err != nil {
			return
		}
		id := r.Header.Get(fleet.HeaderRequestID)
		if id == "" {
			continue // the verifier's
		}
		b.mu.Lock()
		b.ran[id]++
		if first == "" {
			b.connections++
		}
		b.mu.Unlock()
		own := b.framing(id, id)
		if first == "" {
			first = own
			_, _ = io.WriteString(c, own)
			continue
		}
		for _, part := range b.parts(first, own) {
			_, _ = io.WriteString(c, part)
			time.Sleep(b.pause)
		}
	}
}

// framings are answers whose ends are told in different ways.
func framings() map[string]func(id, body string) string {
	return map[string]func(id, body string) string{
		"length": func(id, body string) string {
			return head("200 OK", id, fmt.Sprint("Content-Length: ", len(body))) + body
		},
		"chunked": func(id, body string) string {
			return head("200 OK", id, "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
		"no content":   func(id, _ string) string { return head("204 No Content", id) },
		"not modified": func(id, _ string) string { return head("304 Not Modified", id, "Content-Length: 5") },
		"interim": func(id, body string) string {
			return head("102 Processing", "") + head("200 OK", id, fmt.Sprint("Content-Length: ", len(body))) + body
		},
		"failure": func(id, body string) string {
			return head("500 Internal Server Error", id, fmt.Sprint("Content-Length: ", len(body))) + body
		},
	}
}

// TestLateAnswerDoesNotCostTheNextOne guards against an answer that is lost because a late copy of
// an earlier one comes in front of it, at once or while the request runs.
func TestLateAnswerDoesNotCostTheNextOne(t *testing.T) {
	arrivals := map[string]struct {
		parts func(first, own string) []string
		pause time.Duration
	}{
		"one write":     {func(first, own string) []string { return []string{first + own} }, 0},
		"two writes":    {func(first, own string) []string { return []string{first, own} }, 0},
		"while it runs": {func(first, own string) []string { return []string{first, own} }, 200 * time.Millisecond},
		"split": {func(first, own string) []string {
			return []string{first[:20], first[20:] + own[:20], own[20:]}
		}, 5 * time.Millisecond},
		"three copies": {func(first, own string) []string { return []string{first + first, first + own} }, 5 * time.Millisecond},
	}
	for framing, frame := range framings() {
		for name, arrival := range arrivals {
			t.Run(framing+"/"+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				b := &lateBackend{framing: frame, parts: arrival.parts, pause: arrival.pause, ran: make(map[string]int)}
				l := newLocal(t)
				l.backend.Address = listen(t, b.serve)
				d := dispatcher.New("node", l, dispatcher.WithRequiredEcho())
				ticket := send(d, "t", "1", "", "false").Header().Get(fleet.HeaderTicket)
				first := send(d, "first", "1", ticket, "false")
				is.Equal(outcome(first), "yes ")
				next := send(d, "next", "1", ticket, "false")
				is.Equal(outcome(next), "yes ")
				is.Equal(next.Code, first.Code)
				is.Equal(next.Body.String(), strings.Replace(first.Body.String(), "first", "next", 1))
				is.Equal(outcome(send(d, "later", "1", ticket, "false")), "yes ")
				b.mu.Lock()
				defer b.mu.Unlock()
				is.Equal(b.ran, map[string]int{"first": 1, "next": 1, "later": 1})
				is.Equal(b.connections, 2) // more answers may be late on the first one
			})
		}
	}
}

// TestAnswerThatMayBeItsOwnIsNotDiscarded guards against a request that waits until its deadline
// for an answer that was discarded, although it does not belong to an earlier request for sure.
func TestAnswerThatMayBeItsOwnIsNotDiscarded(t *testing.T) {
	length := framings()["length"]
	for name, stray := range map[string]string{
		"never sent here": length("other", "other"),
		"unnamed":         length("", "first"),
		"two names":       head("200 OK", "next", fleet.HeaderRequestID+": first", "Content-Length: 0"),
		"no length":       head("200 OK", "first"),
		"two lengths":     head("200 OK", "first", "Content-Length: 0", "Content-Length: 0"),
		"length of chunks": head("200 OK", "first", "Content-Length: 5", "Transfer-Encoding: chunked") +
			"0\r\n\r\n",
		"too long": head("200 OK", "first", "Content-Length: 1000000000"),
		"HTTP/1.0": strings.Replace(length("first", "first"), "HTTP/1.1", "HTTP/1.0", 1),
		"too many": strings.Repeat(length("first", "first"), 17),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := &lateBackend{framing: length, parts: func(string, string) []string { return []string{stray} }, ran: make(map[string]int)}
			l := newLocal(t)
			l.backend.Address = listen(t, b.serve)
			d := dispatcher.New("node", l, dispatcher.WithRequiredEcho())
			ticket := send(d, "t", "1", "", "false").Header().Get(fleet.HeaderTicket)
			is.Equal(outcome(send(d, "first", "1", ticket, "false")), "yes ")
			start := time.Now()
			is.Equal(outcome(send(d, "next", "1", ticket, "false")), "unknown broken")
			is.True(time.Since(start) < time.Second)
		})
	}
}

// TestLateAnswerToHeadIsNotDiscarded guards against an answer that is taken for the body of a late
// answer to HEAD, which has a length and no body.
func TestLateAnswerToHeadIsNotDiscarded(t *testing.T) {
	is := is.New(t)
	frame := func(id, _ string) string { return head("200 OK", id, "Content-Length: 300") }
	b := &lateBackend{framing: frame, parts: func(first, own string) []string { return []string{first + own} }, ran: make(map[string]int)}
	l := newLocal(t)
	l.backend.Address = listen(t, b.serve)
	d := dispatcher.New("node", l, dispatcher.WithRequiredEcho())
	ticket := send(d, "t", "1", "", "false").Header().Get(fleet.HeaderTicket)
	sendHead := func(id string) string {
		r := request(id, "1", ticket, "true")
		r.Method, r.Body, r.ContentLength = http.MethodHead, http.NoBody, 0
		w := httptest.NewRecorder()
		d.ServeHTTP(finalRecorder{w}, r)
		return outcome(w)
	}
	is.Equal(sendHead("first"), "yes ")
	is.Equal(sendHead("next"), "unknown broken")
	is.Equal(sendHead("later"), "yes ")
}
