package forwarder_test

import (
	"errors"
	"io"
	"net"
	"sync"
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
	go r.pass(to, from, silent)
	r.pass(from, to, silent)
}

func (r *relay) pass(to, from net.Conn, silent chan struct{}) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			<-r.resumed
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).CloseWrite()
			}
			return
		}
	}
}
