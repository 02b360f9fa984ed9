package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pooler"
)

// cutBackend answers requests whole, but sends only the first bytes of the answer to the request r.
// Then it closes the connection, with a reset if it is told to.
type cutBackend struct {
	answer func(id string) string
	bytes  int
	reset  bool
	// cut is set once an answer was cut.
	cut *atomic.Bool
}

func (b cutBackend) serve(c net.Conn) {
	defer c.Close()
	requests := bufio.NewReader(c)
	for {
		r, err := readRequest(requests)
		if err != nil {
			return
		}
		id := r.Header.Get(fleet.HeaderRequestID)
		answer := b.answer(id)
		if id != "r" {
			_, _ = io.WriteString(c, answer)
			continue
		}
		b.cut.Store(true)
		_, _ = io.WriteString(c, answer[:b.bytes])
		if b.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// maxSends bounds the requests that a case sends at a time.
const maxSends = 8

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
					var sends errgroup.Group
					sends.SetLimit(maxSends)
					for bytes := range len(whole) {
						if name == "no length" && !reset && bytes >= headBytes {
							break // it ends with its connection
						}
						sends.Go(func() error {
							cut := cutBackend{answer: answer, bytes: bytes, reset: reset, cut: &atomic.Bool{}}
							return cut.check(t, first)
						})
					}
					if err := sends.Wait(); err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}

// check sends a request whose answer is cut, over a fresh connection or one that was used before. It
// returns an error if the answer is taken for a whole one.
func (b cutBackend) check(t *testing.T, first bool) error {
	l := newLocal(t)
	l.backend.Address = listen(t, b.serve)
	// No timeout of a connection passes: hundreds of servers share this process, and the machine's delays are no subject.
	untimed := pooler.New(pooler.WithDialTimeout(0), pooler.WithClock(clockwork.NewFakeClock()), pooler.WithProgress(dispatcher.DefaultProgressTimeout))
	d := dispatcher.New("node", l, dispatcher.WithRequiredEcho(), dispatcher.WithUndelimitedAnswers(), dispatcher.WithPooler(untimed))
	ticket := send(d, "t", "1", "", "false").Header().Get(fleet.HeaderTicket)
	if !first {
		whole := send(d, "whole", "1", ticket, "false")
		if got := outcome(whole); got != "yes " {
			return fmt.Errorf("a whole answer was taken for %q: %s", got, whole.Body.String())
		}
	}
	answer := send(d, "r", "1", ticket, "false")
	if !b.cut.Load() {
		return fmt.Errorf("no answer was cut: %q: %s", outcome(answer), answer.Body.String())
	}
	if outcome(answer) == "yes " {
		return fmt.Errorf("%d bytes of %q were taken for an answer with the body %q", b.bytes, b.answer("r"), answer.Body.String())
	}
	return nil
}
