package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

// heartbeat sends informational responses (status 102) until the answer's headers are
// written, so that the ingress can distinguish a slow request from a silent connection.
//
// It also proves to the ingress that an attempt was not dispatched by an owner that died:
// an attempt that has to wait is announced as waiting, and as dispatched before it is. An
// attempt that need not wait is announced as neither, so it costs nothing.
//
// Once the node stops, each response tells when it ends, so that the ingress can find another
// owner before. The first one is written at once.
type heartbeat struct {
	clock   clockwork.Clock
	spacing time.Duration
	// stopping is the stop of the node.
	stopping *stopping

	mu      sync.Mutex
	writer  http.ResponseWriter
	timer   clockwork.Timer
	stopped bool
	// waiting is set once the attempt was announced as waiting.
	waiting bool
	// ignoreStop ends the wait for the stop of the node.
	ignoreStop func() bool
}

func (d *Dispatcher) startHeartbeat(w http.ResponseWriter) *heartbeat {
	h := &heartbeat{clock: d.clock, spacing: d.heartbeat, stopping: d.stopping, writer: w}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = h.clock.AfterFunc(h.spacing, h.beat)
	h.ignoreStop = context.AfterFunc(d.stopping.told, h.beat)
	return h
}

// announceWaiting promises that the attempt is not dispatched before announceDispatch.
func (h *heartbeat) announceWaiting() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting = true
	h.announce(fleet.ProgressWaiting)
}

// announceDispatch keeps the promise of announceWaiting. It must return before the attempt is
// dispatched. If the connection takes no more bytes, net/http has cancelled the request's
// context by then, and the attempt must not be dispatched.
func (h *heartbeat) announceDispatch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting {
		h.announce(fleet.ProgressDispatched)
	}
}

// announce writes an informational response at once. Later heartbeats repeat it.
func (h *heartbeat) announce(progress string) {
	h.writer.Header().Set(fleet.HeaderProgress, progress)
	h.write()
}

// write writes an informational response. The caller holds mu.
func (h *heartbeat) write() {
	h.stopping.setEnd(h.writer.Header())
	h.writer.WriteHeader(http.StatusProcessing)
}

// stop returns once no more heartbeats will be written.
func (h *heartbeat) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.writer.Header().Del(fleet.HeaderProgress)
	h.writer.Header().Del(fleet.HeaderEnds)
	h.timer.Stop()
	h.ignoreStop()
}

func (h *heartbeat) beat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	h.write()
	h.timer.Reset(h.spacing)
}
