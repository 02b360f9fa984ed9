package pipeliner_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/acceptor"
	"cowsliptally.example/cowsliptally/pipeliner"
)

const patience = 10 * time.Second

// safe reports whether a test's request may be begun before its turn.
func safe(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/safe") }

// start serves a handler and returns its address.
func start(t *testing.T, handler http.HandlerFunc, options ...pipeliner.Option) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	a := acceptor.New(listener)
	options = append([]pipeliner.Option{pipeliner.WithEligible(safe)}, options...)
	server := &http.Server{
		Handler: pipeliner.New(handler, options...),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return pipeliner.Context(acceptor.Context(ctx, c))
		},
	}
	go func() { _ = server.Serve(a) }()
	t.Cleanup(func() {
		_ = server.Close()
		is.New(t).NoErr(a.Wait(context.Background()))
	})
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	is.New(t).NoErr(c.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// read returns the body of the next answer.
func read(t *testing.T, answers *bufio.Reader) string {
	t.Helper()
	response, err := http.ReadResponse(answers, nil)
	is.New(t).NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.New(t).NoErr(err)
	return string(body)
}

// TestRequestsRunSideBySide has the first request wait for the last one. Answers come in the
// order of the requests.
func TestRequestsRunSideBySide(t *testing.T) {
	is := is.New(t)
	last := make(chan struct{})
	address := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/safe/0":
			<-last
		case "/safe/4":
			close(last)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	for i := range 5 {
		_, err := io.WriteString(c, get(fmt.Sprint("/safe/", i)))
		is.NoErr(err)
		time.Sleep(time.Millisecond)
	}
	answers := bufio.NewReader(c)
	for i := range 5 {
		is.Equal(read(t, answers), fmt.Sprint("/safe/", i))
	}
}

// TestOnlyRepeatableRequestsAreBegunEarly puts a request that must run once, one with a body
// and bytes that are no request between others.
func TestOnlyRepeatableRequestsAreBegunEarly(t *testing.T) {
	for name, between := range map[string]string{
		"once": get("/once"),
		"body": "POST /safe/body HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxx",
		"bad":  "no request\r\n\r\n",
		"bare": "GET /once/1 HTTP/1.1\nHost: h\n\nGET /safe/3 HTTP/1.1\nHost: h\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int32
			release := make(chan struct{})
			address := start(t, func(w http.ResponseWriter, r *http.Request) {
				served.Add(1)
				if r.URL.Path == "/safe/0" {
					<-release
				}
				_, _ = io.WriteString(w, r.URL.Path)
			})
			c := dial(t, address)
			_, err := io.WriteString(c, get("/safe/0")+get("/safe/1")+between+get("/safe/2"))
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			is.Equal(served.Load(), int32(2))
			close(release)
			answers := bufio.NewReader(c)
			is.Equal(read(t, answers), "/safe/0")
			is.Equal(read(t, answers), "/safe/1")
			response, err := http.ReadResponse(answers, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode == http.StatusBadRequest, name == "bad")
		})
	}
}

// TestCallerThatLeavesEndsAllRequests closes a connection while three requests run.
func TestCallerThatLeavesEndsAllRequests(t *testing.T) {
	is := is.New(t)
	began, ended := make(chan struct{}, 4), make(chan struct{}, 4)
	address := start(t, func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	c := dial(t, address)
	_, err := io.WriteString(c, get("/safe/0")+get("/safe/1")+get("/safe/2"))
	is.NoErr(err)
	for range 3 {
		<-began
	}
	is.NoErr(c.Close())
	for range 3 {
		select {
		case <-ended:
		case <-time.After(patience):
			t.Fatal("a request still runs")
		}
	}
}

// TestLeavingServerAnswersWhatItBegan leaves while three requests run and others arrive. The
// connection closes with the last of the three; the others are not read.
func TestLeavingServerAnswersWhatItBegan(t *testing.T) {
	is := is.New(t)
	var leaving atomic.Bool
	var served atomic.Int32
	began, release := make(chan struct{}, 8), make(chan struct{})
	address := start(t, func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		began <- struct{}{}
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	}, pipeliner.WithLeaving(leaving.Load))
	c := dial(t, address)
	_, err := io.WriteString(c, get("/safe/0")+get("/safe/1")+get("/safe/2"))
	is.NoErr(err)
	for range 3 {
		<-began
	}
	leaving.Store(true)
	for i := 3; i < 10; i++ {
		_, err := io.WriteString(c, get(fmt.Sprint("/safe/", i)))
		is.NoErr(err)
	}
	close(release)
	answers := bufio.NewReader(c)
	for i := range 3 {
		is.Equal(read(t, answers), fmt.Sprint("/safe/", i))
	}
	_, err = answers.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(served.Load(), int32(3))
}

// TestBrokenAnswerBreaksTheConnection breaks off the answer of the second request, before and
// after part of it was written. It is never a complete answer, and no other one follows.
func TestBrokenAnswerBreaksTheConnection(t *testing.T) {
	for _, size := range []int{0, 100, 200_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			address := start(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/safe/1" {
					w.Header().Set("Content-Length", "300000")
					_, _ = w.Write(make([]byte, size))
					panic(http.ErrAbortHandler)
				}
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(w, r.URL.Path)
			})
			c := dial(t, address)
			_, err := io.WriteString(c, get("/safe/0")+get("/safe/1")+get("/safe/2"))
			is.NoErr(err)
			answers := bufio.NewReader(c)
			is.Equal(read(t, answers), "/safe/0")
			response, err := http.ReadResponse(answers, nil)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			is.True(err != nil)
		})
	}
}

// TestLongAnswersWaitForTheirTurn sends answers that are longer than what is buffered.
func TestLongAnswersWaitForTheirTurn(t *testing.T) {
	is := is.New(t)
	const size = 3 << 20
	address := start(t, func(w http.ResponseWriter, r *http.Request) {
		part := []byte(strings.Repeat(r.URL.Path[len("/safe/"):], 1024))
		for range size / len(part) {
			if _, err := w.Write(part); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	})
	c := dial(t, address)
	_, err := io.WriteString(c, get("/safe/a")+get("/safe/b")+get("/safe/c"))
	is.NoErr(err)
	answers := bufio.NewReader(c)
	for _, letter := range []string{"a", "b", "c"} {
		is.Equal(read(t, answers), strings.Repeat(letter, size))
	}
}

// TestStreamsAgreeWithTheirRequests sends random requests in random parts: some may be begun
// early, some not, some have bodies that look like requests or lines without a carriage
// return. Each is served once, no other one is, and the answers come in order.
func TestStreamsAgreeWithTheirRequests(t *testing.T) {
	for seed := range uint64(40) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		var mu sync.Mutex
		served := map[string]int{}
		address := start(t, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			mu.Lock()
			served[r.URL.Path]++
			mu.Unlock()
			fmt.Fprintf(w, "%s %d", r.URL.Path, len(body))
		})
		var stream strings.Builder
		var want []string
		for i := range 30 {
			path, body, newline := fmt.Sprint("/safe/", i), "", "\r\n"
			switch random.IntN(6) {
			case 0:
				path = fmt.Sprint("/once/", i)
			case 1:
				body = "x\r\n\r\n" + get("/safe/smuggled") + get("/safe/smuggled")
			case 2:
				if seed%2 == 0 {
					newline = "\n"
				}
			}
			method := "GET"
			if body != "" {
				method = "POST"
			}
			fmt.Fprintf(&stream, "%s %s HTTP/1.1%sHost: h%s", method, path, newline, newline)
			if body != "" {
				fmt.Fprintf(&stream, "Content-Length: %d%s", len(body), newline)
			}
			stream.WriteString(newline + body)
			want = append(want, fmt.Sprint(path, " ", len(body)))
		}
		c := dial(t, address)
		go func() {
			rest := stream.String()
			for len(rest) > 0 {
				n := min(len(rest), 1+random.IntN(200))
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
				time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
			}
		}()
		answers := bufio.NewReader(c)
		for _, answer := range want {
			is.Equal(read(t, answers), answer)
		}
		mu.Lock()
		is.Equal(len(served), len(want))
		for _, times := range served {
			is.Equal(times, 1)
		}
		mu.Unlock()
	}
}
