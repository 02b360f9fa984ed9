package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/acceptor"
)

const patience = 10 * time.Second

// start serves a handler and returns its address and acceptor.
func start(t *testing.T, handler http.HandlerFunc, options ...acceptor.Option) (string, *acceptor.Acceptor, *http.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	a := acceptor.New(listener, options...)
	server := &http.Server{Handler: handler, ConnContext: acceptor.Context}
	go func() { _ = server.Serve(a) }()
	t.Cleanup(func() {
		_ = server.Close()
		is.New(t).NoErr(a.Wait(context.Background()))
	})
	return listener.Addr().String(), a, server
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func request(i int) string {
	return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\nX-Filler: %s\r\n\r\n", i, strings.Repeat("f", i%300))
}

// TestCloseIsSeenBehindPipelinedRequests closes a connection while a request runs and others
// wait behind it. net/http alone does not notice it before the first one ends.
func TestCloseIsSeenBehindPipelinedRequests(t *testing.T) {
	for _, waiting := range []int{0, 1, 20} {
		for _, together := range []bool{true, false} {
			t.Run(fmt.Sprint(waiting, together), func(t *testing.T) {
				is := is.New(t)
				began, ended := make(chan string, 32), make(chan string, 32)
				address, _, _ := start(t, func(_ http.ResponseWriter, r *http.Request) {
					began <- r.URL.Path
					select {
					case <-r.Context().Done():
						ended <- r.URL.Path
					case <-time.After(patience):
					}
				})
				c := dial(t, address)
				var all strings.Builder
				for i := range waiting + 1 {
					all.WriteString(request(i))
				}
				if together {
					_, err := io.WriteString(c, all.String())
					is.NoErr(err)
					is.Equal(<-began, "/0")
				} else {
					_, err := io.WriteString(c, request(0))
					is.NoErr(err)
					is.Equal(<-began, "/0")
					for _, part := range strings.SplitAfter(strings.TrimPrefix(all.String(), request(0)), "f") {
						_, err = io.WriteString(c, part)
						is.NoErr(err)
					}
				}
				is.NoErr(c.Close())
				select {
				case path := <-ended:
					is.Equal(path, "/0")
				case <-time.After(patience / 2):
					t.Fatal("the request still runs")
				}
			})
		}
	}
}

// TestPipelinedRequestsAreAnsweredInOrder sends requests in parts of many sizes, with bodies
// among them.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	address, _, _ := start(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(err)
		}
		time.Sleep(time.Millisecond)
		fmt.Fprintf(w, "%s %d", r.URL.Path, len(body))
	}, acceptor.WithReadAhead(700))
	for _, size := range []int{1, 7, 100, 1000, 100_000} {
		c := dial(t, address)
		var all strings.Builder
		const requests = 40
		for i := range requests {
			if i%5 == 3 {
				fmt.Fprintf(&all, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", i, 2*i, strings.Repeat("b", 2*i))
				continue
			}
			all.WriteString(request(i))
		}
		go func() {
			rest := []byte(all.String())
			for len(rest) > 0 {
				n, err := c.Write(rest[:min(size, len(rest))])
				if err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		answers := bufio.NewReader(c)
		for i := range requests {
			response, err := http.ReadResponse(answers, nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			length := 0
			if i%5 == 3 {
				length = 2 * i
			}
			is.Equal(string(body), fmt.Sprintf("/%d %d", i, length))
		}
		is.NoErr(c.Close())
	}
}

// TestLastAnswerArrivesBeforeUnreadRequests closes the connection with an answer while later
// requests are unread. A plain close would reset the connection and lose the answer.
func TestLastAnswerArrivesBeforeUnreadRequests(t *testing.T) {
	is := is.New(t)
	const size = 4 << 20
	var served atomic.Int32
	address, a, _ := start(t, func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, size))
	}, acceptor.WithReadAhead(1000), acceptor.WithLinger(patience))
	c := dial(t, address)
	for i := range 2000 {
		_, err := io.WriteString(c, request(i))
		is.NoErr(err)
	}
	time.Sleep(50 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(len(body), size)
	is.NoErr(c.Close())
	is.NoErr(a.Wait(context.Background()))
	is.Equal(served.Load(), int32(1))
}

// TestShutdownPassesOnNothingBehindTheRunningRequest shuts down while ten requests wait behind
// a running one, which is still answered.
func TestShutdownPassesOnNothingBehindTheRunningRequest(t *testing.T) {
	is := is.New(t)
	began, release := make(chan struct{}, 16), make(chan struct{})
	var leaving atomic.Bool
	var served atomic.Int32
	address, a, server := start(t, func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		began <- struct{}{}
		<-release
		if leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	for i := range 11 {
		_, err := io.WriteString(c, request(i))
		is.NoErr(err)
	}
	<-began
	leaving.Store(true)
	stopped := make(chan error)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "/0")
	is.NoErr(<-stopped)
	is.NoErr(a.Wait(context.Background()))
	is.Equal(served.Load(), int32(1))
}

// TestClosedIdleConnectionServesNothing sends a request on a connection that the server has
// just closed.
func TestClosedIdleConnectionServesNothing(t *testing.T) {
	is := is.New(t)
	var served atomic.Int32
	address, a, server := start(t, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	c := dial(t, address)
	_, err := io.WriteString(c, request(0))
	is.NoErr(err)
	answers := bufio.NewReader(c)
	response, err := http.ReadResponse(answers, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(server.Close())
	_, _ = io.WriteString(c, request(1))
	_, err = http.ReadResponse(answers, nil)
	is.True(err != nil)
	_ = c.Close()
	is.NoErr(a.Wait(context.Background()))
	is.Equal(served.Load(), int32(1))
}

// TestArrivalIsThatOfTheBytes pipelines three requests, of which the second and third wait
// while the first runs. Each must be told when it came, not when its turn came.
func TestArrivalIsThatOfTheBytes(t *testing.T) {
	is := is.New(t)
	const work = 150 * time.Millisecond
	type served struct{ arrived, began time.Time }
	all := make(chan served, 4)
	address, _, _ := start(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived, found := acceptor.Arrival(r.Context())
		if !found {
			panic("no arrival")
		}
		all <- served{arrived, time.Now()}
		time.Sleep(work)
	})
	c := dial(t, address)
	for i := range 3 {
		_, err := io.WriteString(c, request(i))
		is.NoErr(err)
		time.Sleep(work / 10)
	}
	first, second, third := <-all, <-all, <-all
	is.True(first.arrived.Before(second.arrived) && second.arrived.Before(third.arrived))
	is.True(third.arrived.Before(second.began)) // it came while the first was running
	_, found := acceptor.Arrival(context.Background())
	is.True(!found)
}

// TestCloseEndsAReadThatBegins closes connections at the moment at which the server turns
// from reading ahead to reading the next request. No connection may stay open.
func TestCloseEndsAReadThatBegins(t *testing.T) {
	is := is.New(t)
	for i := range 50 {
		release := make(chan struct{})
		address, a, server := start(t, func(http.ResponseWriter, *http.Request) { <-release }, acceptor.WithLinger(time.Millisecond))
		c := dial(t, address)
		_, err := io.WriteString(c, request(0)+request(1)[:i%20+1])
		is.NoErr(err)
		time.Sleep(time.Millisecond)
		go close(release)
		is.NoErr(server.Close())
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		is.NoErr(a.Wait(ctx))
		cancel()
		is.NoErr(c.Close())
	}
}

// oneConn is a listener with one connection.
type oneConn struct {
	net.Listener
	conn net.Conn
}

func (l oneConn) Accept() (net.Conn, error) { return l.conn, nil }

// TestBodyOfBlankLinesIsReadWithoutCopyingTheRestAtEach guards against uploads that take seconds,
// as each blank line of a body made all bytes that had arrived behind it be copied.
func TestBodyOfBlankLinesIsReadWithoutCopyingTheRestAtEach(t *testing.T) {
	is := is.New(t)
	client, served := net.Pipe()
	accepted, err := acceptor.New(oneConn{conn: served}).Accept()
	is.NoErr(err)
	body := strings.Repeat("a:\r\n\r\n", 30_000)
	go func() {
		_, _ = io.WriteString(client, body)
		_ = client.Close()
	}()
	content := make([]byte, len(body))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = io.ReadFull(accepted, content)
	runtime.ReadMemStats(&after)
	is.NoErr(err)
	is.Equal(string(content), body)
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d bytes were allocated", allocated)
	is.True(allocated < uint64(64*len(body)))
}
