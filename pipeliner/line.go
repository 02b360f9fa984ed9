package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"reflect"
	"slices"
	"sync"

	"cowsliptally.example/cowsliptally/acceptor"
	"cowsliptally.example/cowsliptally/drainer"
)

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// lineKey is the key of a connection's line in a context.
type lineKey struct{}

// earlyKey is the key of a request that was begun before its turn in its own context.
type earlyKey struct{}

// line holds the requests of one connection that were begun before their turn, in order.
type line struct {
	ctx context.Context

	mu    sync.Mutex
	begun []*early
	// current is the request whose turn it is, if it was begun before; nil otherwise.
	current *early
	// held is set while the end of the answer to the request whose turn it is is in doubt.
	held bool
}

func (l *line) pending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.begun) > 0
}

// take returns the first request that was begun, whose turn has come; nil if there is none.
func (l *line) take(r *http.Request) *early {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current, l.held = nil, false
	if len(l.begun) == 0 {
		return nil
	}
	first := l.begun[0]
	l.begun = l.begun[1:]
	l.current, l.held = first, first.held
	if !first.is(r) {
		// The server read another request than was begun. Neither answer can be trusted.
		panic(http.ErrAbortHandler)
	}
	return first
}

// hold keeps requests behind one from being begun; nil stands for a request that was not begun
// before its turn. It reports whether some have been begun.
func (l *line) hold(e *early) (behind bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e == nil || e == l.current {
		l.held = true
		return len(l.begun) > 0
	}
	e.held = true
	return len(l.begun) > 0 && l.begun[len(l.begun)-1] != e
}

// holds reports whether no requests are begun because of one ahead of them. The caller holds
// the line's lock.
func (l *line) holds() bool {
	return l.held || slices.ContainsFunc(l.begun, func(e *early) bool { return e.held })
}

// follow begins the requests behind one that is served, until stop.
func (l *line) follow(p *Pipeliner, current *http.Request) (stop func()) {
	if hasBody(current) || current.Close || !current.ProtoAtLeast(1, 1) || current.ProtoMajor != 1 {
		return func() {}
	}
	return acceptor.Watch(current.Context(), func(pending []byte) { l.begin(p, current, pending) })
}

// begin begins the requests whose heads are complete, up to the first that is not eligible.
func (l *line) begin(p *Pipeliner, current *http.Request, pending []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 0; i < p.depth; i++ {
		end := bytes.Index(pending, []byte(headEnd))
		if end < 0 {
			return
		}
		head := pending[:end+len(headEnd)]
		pending = pending[len(head):]
		if bareNewline(head) {
			return
		}
		if i < len(l.begun) {
			continue
		}
		if l.holds() {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil || !plain(r) || !p.eligible(r) || p.leaving() || !p.work.Enter(drainer.Pipelined) {
			return
		}
		r.RemoteAddr = current.RemoteAddr
		e := &early{}
		r = r.WithContext(context.WithValue(acceptor.WithArrival(l.ctx, p.clock.Now()), earlyKey{}, e))
		e.init(r, p.memory)
		leave := sync.OnceFunc(func() { p.work.Leave(drainer.Pipelined) })
		stop := context.AfterFunc(l.ctx, leave)
		e.leave = func() { stop(); leave() }
		l.begun = append(l.begun, e)
		go e.run(p.next, r)
	}
}

// bareNewline reports whether a line ends without a carriage return. net/http accepts that,
// so several heads may look like one.
func bareNewline(head []byte) bool {
	return bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n"))
}

// plain reports whether a request has nothing that net/http would treat in another way than
// http.ReadRequest.
func plain(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && r.ProtoMajor == 1 && r.Host != "" && !r.Close && !hasBody(r) &&
		(r.Method == http.MethodGet || r.Method == http.MethodHead) &&
		r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == ""
}

func hasBody(r *http.Request) bool { return r.ContentLength != 0 || len(r.TransferEncoding) > 0 }

// same reports whether two requests are the same as far as a handler can tell.
func same(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Host == b.Host && reflect.DeepEqual(a.Header, b.Header)
}
