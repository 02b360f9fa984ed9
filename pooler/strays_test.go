package pooler_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/pooler"
)

const echo = "X-Request"

// echoed returns an answer with the identifier of its request.
func echoed(id, body string, lines ...string) string {
	lines = append(lines, echo+": "+id, fmt.Sprint("Content-Length: ", len(body)))
	return "HTTP/1.1 200 OK\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// serveEach gives each request of each connection, counted from 0, to a function that answers it
// and reports whether the connection is kept.
func serveEach(t *testing.T, answer func(c net.Conn, n int) bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				requests := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !answer(c, n) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// sendEcho sends a request whose answer repeats its identifier.
func sendEcho(t *testing.T, p *pooler.Pooler, address, id string) (*pooler.Exchange, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", nil)
	is.New(t).NoErr(err)
	return p.Send(ctx, pooler.Message{Address: address, ID: id, Echo: echo, Request: request})
}

// readAll reads the body of an answer, after which its connection may be used again.
func readAll(t *testing.T, exchange *pooler.Exchange, err error) string {
	t.Helper()
	is := is.New(t)
	is.NoErr(err)
	body, err := io.ReadAll(exchange.Response.Body)
	is.NoErr(err)
	return string(body)
}

// TestConnectionWithLateAnswerIsUsedNoMore guards against a connection that is used again although
// more answers may be late on it, and against memory that is kept for them.
func TestConnectionWithLateAnswerIsUsedNoMore(t *testing.T) {
	for name, lines := range map[string][]string{
		"small heads": nil,
		"large heads": {"A: " + strings.Repeat("x", 30<<10)},
	} {
		for _, size := range []int{1 << 20, 1 << 10} {
			t.Run(fmt.Sprint(name, " in parts of ", size), func(t *testing.T) {
				is := is.New(t)
				address := serveEach(t, func(c net.Conn, n int) bool {
					text := echoed("first", "first", lines...)
					if n > 0 {
						text += echoed("next", "next", lines...)
					}
					for ; len(text) > size; text = text[size:] {
						_, _ = io.WriteString(c, text[:size])
						time.Sleep(100 * time.Microsecond)
					}
					_, err := io.WriteString(c, text)
					return err == nil
				})
				memory, registry := accountant.New(1<<20), metrics.NewRegistry()
				p := pooler.New(pooler.WithHeads(memory), pooler.WithMetrics(registry, "test"))
				first, err := sendEcho(t, p, address, "first")
				is.Equal(readAll(t, first, err), "first")
				first.Close()
				next, err := sendEcho(t, p, address, "next")
				is.Equal(readAll(t, next, err), "next")
				is.True(next.Reused)
				again, err := sendEcho(t, p, address, "first") // before the exchange is closed
				is.Equal(readAll(t, again, err), "first")
				is.True(!again.Reused)
				next.Close()
				again.Close()
				is.Equal(metrics.GetOrRegisterCounter("test.strays", registry).Count(), int64(1))
				is.Equal(metrics.GetOrRegisterCounter("test.opened", registry).Count(), int64(2))
				is.Equal(memory.Reserved(), int64(0))
			})
		}
	}
}

// TestLateAnswerEndsNoLaterExchange guards against the end of an exchange that closes the
// connection under the next one, in which an answer was late.
func TestLateAnswerEndsNoLaterExchange(t *testing.T) {
	is := is.New(t)
	late, finish := make(chan bool), make(chan bool)
	address := serveEach(t, func(c net.Conn, n int) bool {
		_, _ = io.WriteString(c, echoed("first", "first"))
		if n > 0 {
			late <- true
			<-finish
			_, _ = io.WriteString(c, echoed("next", "next"))
		}
		return true
	})
	registry := metrics.NewRegistry()
	p := pooler.New(pooler.WithMetrics(registry, "test"))
	first, err := sendEcho(t, p, address, "first")
	is.Equal(readAll(t, first, err), "first")
	go func() {
		<-late
		for metrics.GetOrRegisterCounter("test.strays", registry).Count() == 0 {
			time.Sleep(time.Millisecond)
		}
		first.Close()
		finish <- true
	}()
	next, err := sendEcho(t, p, address, "next")
	is.Equal(readAll(t, next, err), "next")
	next.Close()
}

// TestEndAfterLateAnswerIsNoAnswer guards against a connection that ends behind a late answer, or
// in one, and is taken for one over which nothing was sent or announced.
func TestEndAfterLateAnswerIsNoAnswer(t *testing.T) {
	whole := echoed("first", "")
	for text, inHead := range map[string]bool{
		whole: false, echoed("first", "body")[:len(whole)]: false, whole[:20]: true, whole + whole[:20]: true,
	} {
		is := is.New(t)
		address := serveEach(t, func(c net.Conn, n int) bool {
			if n == 0 {
				_, _ = io.WriteString(c, echoed("first", "first"))
				return true
			}
			_, _ = io.WriteString(c, text)
			return false
		})
		p := pooler.New()
		first, err := sendEcho(t, p, address, "first")
		is.Equal(readAll(t, first, err), "first")
		first.Close()
		next, err := sendEcho(t, p, address, "next")
		is.Equal(fault.KindOf[pooler.Kind](err), pooler.KindBroken)
		is.Equal(!errors.Is(err, io.EOF), inHead) // net/http sees the part of the head
		is.True(next.Sent)
		is.True(!next.Ended)
	}
}

// TestHeldHeadsAreBounded guards against heads that are held back and take memory without bound.
func TestHeldHeadsAreBounded(t *testing.T) {
	is := is.New(t)
	address := serveEach(t, func(c net.Conn, n int) bool {
		_, _ = io.WriteString(c, echoed("first", "first"))
		if n > 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 40<<10))
		}
		return true
	})
	memory, registry := accountant.New(32<<10), metrics.NewRegistry()
	p := pooler.New(pooler.WithHeads(memory), pooler.WithMetrics(registry, "test"))
	first, err := sendEcho(t, p, address, "first")
	is.Equal(readAll(t, first, err), "first")
	first.Close()
	_, err = sendEcho(t, p, address, "next")
	is.Equal(fault.KindOf[pooler.Kind](err), pooler.KindBroken)
	is.Equal(metrics.GetOrRegisterCounter("test.headmemory", registry).Count(), int64(1))
	is.Equal(memory.Reserved(), int64(0))
}
