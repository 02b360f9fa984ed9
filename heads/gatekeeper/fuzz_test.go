package gatekeeper_test

import (
	"bufio"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/acceptor"
	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/heads/gatekeeper"
)

const (
	// fuzzMemory admits few heads of many lines at a time.
	fuzzMemory = 1 << 20
	// maxFuzz bounds the bytes on one connection.
	maxFuzz = 64 << 10
	// perConnection is what a connection and its server allocate without a head, with room for
	// the other goroutines of the test, and perRequest what a request and its answer do.
	perConnection, perRequest = 1 << 20, 32 << 10
	// perAdmitted is the bound of the bytes allocated for each that is reserved, and perByte
	// that for each byte on the connection.
	perAdmitted, perByte = 4, 64
)

// pipes is a listener of connections within the process.
type pipes struct {
	made  chan net.Conn
	ended chan struct{}
	once  sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.made:
		return c, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.ended) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// result counts the answers of a connection.
type result struct{ whole, refused, others int }

// answers reads all answers of a connection until it ends.
func answers(c net.Conn) (r result) {
	reader := bufio.NewReader(c)
	for {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return r
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return r
		}
		switch answer.StatusCode {
		case http.StatusOK:
			r.whole++
		case http.StatusServiceUnavailable, http.StatusRequestHeaderFieldsTooLarge:
			r.refused++
		default:
			r.others++
		}
	}
}

// awaitRelease waits until no memory is reserved. A server that is closed does not wait for its handlers,
// and that of a request which the close has broken off releases the memory a moment later.
func awaitRelease(t *testing.T, memory *accountant.Accountant) {
	for deadline := time.Now().Add(patience); memory.Reserved() != 0; time.Sleep(10 * time.Microsecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are still reserved", memory.Reserved())
		}
	}
}

// FuzzHeads sends any bytes on a connection. What is allocated must be bounded by what was
// admitted, and each request that runs is answered whole, while nothing runs after a refusal.
func FuzzHeads(f *testing.F) {
	f.Add([]byte(head("/", 2000)), 100)
	f.Fuzz(func(t *testing.T, content []byte, size int) {
		if len(content) > maxFuzz {
			return
		}
		memory := accountant.New(fuzzMemory)
		p := &pipes{made: make(chan net.Conn, 1), ended: make(chan struct{})}
		g := gatekeeper.New(p, gatekeeper.Limits{
			Head: maxHead, HeaderTimeout: patience, Connections: 2, AddressConnections: 2,
			Memory: memory, AddressMemory: fuzzMemory, ConnectionMemory: fuzzMemory,
		}, gatekeeper.WithRegistry(metrics.NewRegistry(), "fuzz"))
		a := acceptor.New(g, acceptor.WithLinger(time.Millisecond))
		var ran atomic.Int32
		server := &http.Server{MaxHeaderBytes: maxHead, Handler: g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
			ran.Add(1)
			_, _ = io.WriteString(w, "whole")
		}))}
		server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return acceptor.Context(g.Context(ctx, c), c) }
		server.ErrorLog = log.New(io.Discard, "", 0)
		go func() { _ = server.Serve(a) }()
		client, served := net.Pipe()
		p.made <- served
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			part := max(1, size%(8<<10))
			for rest := content; len(rest) > 0; rest = rest[min(part, len(rest)):] {
				if _, err := client.Write(rest[:min(part, len(rest))]); err != nil {
					return
				}
			}
			time.Sleep(time.Millisecond)
			_ = client.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		}()
		r := answers(client)
		_ = client.Close()
		<-sent
		_ = server.Close()
		if err := a.Wait(context.Background()); err != nil {
			t.Fatal(err)
		}
		awaitRelease(t, memory)
		runtime.ReadMemStats(&after)
		requests := int64(ran.Load()) + int64(r.others) + 1
		bound := perConnection + perAdmitted*memory.Peak()*requests + perRequest*requests + perByte*int64(len(content))
		if allocated := int64(after.TotalAlloc - before.TotalAlloc); allocated > bound {
			t.Fatalf("%d bytes were allocated, more than %d for %d admitted bytes", allocated, bound, memory.Peak())
		}
		if r.whole > int(ran.Load()) || r.refused > 1 {
			t.Fatalf("%d requests ran, %d were answered, %d refused", ran.Load(), r.whole, r.refused)
		}
	})
}
