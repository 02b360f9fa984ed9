package pipeliner

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"
)

// maxBuffered is the part of an answer that is buffered until its turn, in bytes. A longer
// one waits for its turn.
const maxBuffered = 64 << 10

// early is a request that was begun before its turn. It is the http.ResponseWriter of its
// handler.
type early struct {
	ctx context.Context
	// memory bounds what is buffered of all answers.
	memory Memory
	// unwatch ends the watching of the connection's end.
	unwatch func() bool
	// request is a copy from before the handler changed it.
	request *http.Request
	// held is set once the end of its answer is in doubt; the line's lock guards it.
	held bool
	// leave ends the request in the count of work in flight. It is called when the answer is
	// written or the connection has ended, whichever comes first.
	leave func()
	// turn is closed when writer is set, and done when the handler has returned.
	turn, done chan struct{}

	mu      sync.Mutex
	header  http.Header
	status  int
	content []byte
	// reserved is the memory reserved for content; ended is set once the connection has ended.
	reserved int64
	ended    bool
	// writer takes the answer from the request's turn on.
	writer http.ResponseWriter
	// panicked is what the handler panicked with; nil if it returned.
	panicked any
}

// init sets the request, whose context holds the early itself, and the bound of what is buffered.
func (e *early) init(r *http.Request, memory Memory) {
	e.ctx, e.request, e.header = r.Context(), r.Clone(r.Context()), make(http.Header)
	e.turn, e.done = make(chan struct{}), make(chan struct{})
	e.memory, e.unwatch = memory, context.AfterFunc(e.ctx, e.abandon)
}

// abandon releases the memory of an answer whose connection has ended.
func (e *early) abandon() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	e.release()
}

// release releases the buffered part. The caller holds mu.
func (e *early) release() {
	e.memory.Release(e.reserved)
	e.reserved, e.content = 0, nil
}

// buffer buffers a part, or returns false if there is no room for it. The caller holds mu.
func (e *early) buffer(part []byte) bool {
	if e.writer != nil || e.ended || len(e.content)+len(part) > maxBuffered || !e.memory.Reserve(int64(len(part))) {
		return false
	}
	e.reserved += int64(len(part))
	e.content = append(e.content, part...)
	return true
}

func (e *early) is(r *http.Request) bool { return same(e.request, r) }

// run serves the request.
func (e *early) run(handler http.Handler, r *http.Request) {
	defer close(e.done)
	defer func() {
		cause := recover()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.panicked = cause
	}()
	handler.ServeHTTP(e, r)
}

// replay writes the answer to its caller. It panics as the handler did, which breaks the
// connection of an answer that was broken off. The buffered part must be written by the
// deadline.
func (e *early) replay(w http.ResponseWriter, deadline time.Time) {
	// The connection's context would refer to every answer until the connection ends.
	defer e.unwatch()
	if err := e.attach(w, deadline); err != nil {
		panic(http.ErrAbortHandler)
	}
	<-e.done
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.panicked != nil {
		panic(e.panicked)
	}
	if e.status == 0 {
		e.writeHead(http.StatusOK)
	}
}

// attach writes what is buffered and has the rest written directly.
func (e *early) attach(w http.ResponseWriter, deadline time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(e.turn)
	e.writer = w
	if e.status == 0 {
		return nil
	}
	_ = http.NewResponseController(w).SetWriteDeadline(deadline) // not on all writers
	e.writeHead(e.status)
	_, err := w.Write(e.content)
	e.release()
	return err
}

// writeHead writes the status and the headers.
func (e *early) writeHead(status int) {
	maps.Copy(e.writer.Header(), e.header)
	e.writer.WriteHeader(status)
}

// Header returns the headers of the answer.
func (e *early) Header() http.Header { return e.header }

// WriteHeader sets the status.
func (e *early) WriteHeader(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status != 0 || status < http.StatusOK {
		return
	}
	e.status = status
	if e.writer != nil {
		e.writeHead(status)
	}
}

// Write writes a part of the body; beyond maxBuffered and the memory it waits for the request's turn.
func (e *early) Write(part []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	e.mu.Lock()
	buffered := e.buffer(part)
	e.mu.Unlock()
	if buffered {
		return len(part), nil
	}
	select {
	case <-e.turn:
	case <-e.ctx.Done():
		return 0, e.ctx.Err()
	}
	return e.writer.Write(part)
}

// SetWriteDeadline sets the deadline of writes from the request's turn on.
func (e *early) SetWriteDeadline(deadline time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.writer == nil {
		return nil
	}
	return http.NewResponseController(e.writer).SetWriteDeadline(deadline)
}
