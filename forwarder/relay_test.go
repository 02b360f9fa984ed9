package forwarder_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay forwards connections until they are silenced; new ones are forwarded again.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// silent is closed to silence the present connections.
	silent chan struct{}
	// resumed is closed to forward silenced bytes after all.
	resumed chan struct{}
	// witnesses counts the open connections over which a verifier's question was answered.
	witnesses atomic.Int32
}

func newRelay(t testing.TB, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, silent: make(chan struct{}), resumed: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go r.join(accepted)
		}
	}()
	return r
}

// silence stops all bytes on the present connections until resume.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent)
	r.silent = make(chan struct{})
}

// cut stops all bytes on the present connections and on new ones until resume.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent)
}

// resume forwards the held bytes of all connections.
func (r *relay) resume() { close(r.resumed) }

func (r *relay) join(from net.Conn) {
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = from.Close()
		return
	}
	r.mu.Lock()
	silent := r.silent
	r.mu.Unlock()
	var asked, answered atomic.Bool
	go func() {
		r.pass(to, from, silent, func(content []byte) {
			asked.Store(asked.Load() || bytes.HasPrefix(content, []byte("OPTIONS * ")))
		})
		if answered.Load() {
			r.witnesses.Add(-1)
		}
	}()
	r.pass(from, to, silent, func([]byte) {
		if asked.Load() && answered.CompareAndSwap(false, true) {
			r.witnesses.Add(1)
		}
	})
}

// pass forwards one direction of a connection, and calls seen with what it is about to forward.
func (r *relay) pass(to, from net.Conn, silent chan struct{}, seen func([]byte)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			<-r.resumed
		default:
		}
		if n > 0 {
			seen(buffer[:n])
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).CloseWrite()
			}
			return
		}
	}
}
