package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// cutBackend sends only the first bytes of an answer and closes the connection, with a reset if it
// is told to. Before, it answers one request on each connection whole, unless first is set.
type cutBackend struct {
	answer func(id string) string
	bytes  int
	reset  bool
	first  bool
}

func (b cutBackend) serve(c net.Conn) {
	defer c.Close()
	requests := bufio.NewReader(c)
	for served := 0; ; served++ {
		r, err := readRequest(requests)
		if err != nil {
			return
		}
		answer := b.answer(r.Header.Get(fleet.HeaderRequestID))
		if served == 0 && !b.first {
			_, _ = io.WriteString(c, answer)
			continue
		}
		_, _ = io.WriteString(c, answer[:b.bytes])
		if b.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// TestAnswerCutAtAnyByteIsNoSuccess guards against an answer that ends early, in its head or its
// body, and reaches the caller as whole. The connection is fresh or was used before.
func TestAnswerCutAtAnyByteIsNoSuccess(t *testing.T) {
	const body = "receipt 17"
	answers := map[string]func(id string) string{
		"length": func(id string) string {
			return head("200 OK", id, "X-Note: a", fmt.Sprint("Content-Length: ", len(body))) + body
		},
		"chunked": func(id string) string {
			return head("200 OK", id, "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
		"no length": func(id string) string { return head("200 OK", id, "Connection: close") + body },
		"empty":     func(id string) string { return head("200 OK", id, "Content-Length: 0") },
		"no content": func(id string) string {
			return head("204 No Content", id)
		},
		"after an interim answer": func(id string) string {
			return head("102 Processing", id) + head("200 OK", id, fmt.Sprint("Content-Length: ", len(body))) + body
		},
		"identifier first": func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + fleet.HeaderRequestID + ": " + id + "\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body
		},
	}
	for name, answer := range answers {
		for _, first := range []bool{true, false} {
			if name == "no length" && !first {
				continue // the end of an answer is that of its connection
			}
			for _, reset := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/first=%t/reset=%t", name, first, reset), func(t *testing.T) {
					t.Parallel()
					whole := answer("r")
					headBytes := strings.LastIndex(whole, "\r\n\r\n") + 4
					if name == "chunked" {
						headBytes = strings.Index(whole, "\r\n\r\n") + 4
					}
					var sends sync.WaitGroup
					defer sends.Wait()
					for bytes := range len(whole) {
						if name == "no length" && !reset && bytes >= headBytes {
							break // it ends with its connection
						}
						sends.Go(func() {
							cut := cutBackend{answer: answer, bytes: bytes, reset: reset, first: first}
							if got, content := cut.send(t); got == "yes " {
								t.Errorf("%d of %d bytes (head of %d) were taken for an answer with the body %q", bytes, len(whole), headBytes, content)
							}
						})
					}
				})
			}
		}
	}
}

// send sends a request whose answer is cut, and returns its outcome and the body.
func (b cutBackend) send(t *testing.T) (got, content string) {
	is := is.New(t)
	l := newLocal(t)
	l.backend.Address = listen(t, b.serve)
	d := dispatcher.New("node", l, dispatcher.WithRequiredEcho(), dispatcher.WithUndelimitedAnswers())
	ticket := send(d, "t", "1", "", "false").Header().Get(fleet.HeaderTicket)
	if !b.first {
		is.Equal(outcome(send(d, "whole", "1", ticket, "false")), "yes ")
	}
	answer := send(d, "r", "1", ticket, "false")
	return outcome(answer), answer.Body.String()
}
