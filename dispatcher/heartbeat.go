package dispatcher

import (
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// heartbeat sends informational responses (status 102) until the answer's headers are
// written, so that the ingress can distinguish a slow request from a silent connection.
type heartbeat struct {
	clock   clockwork.Clock
	spacing time.Duration

	mu      sync.Mutex
	writer  http.ResponseWriter
	timer   clockwork.Timer
	stopped bool
}

func startHeartbeat(w http.ResponseWriter, clock clockwork.Clock, spacing time.Duration) *heartbeat {
	h := &heartbeat{clock: clock, spacing: spacing, writer: w}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = clock.AfterFunc(spacing, h.beat)
	return h
}

// stop returns once no more heartbeats will be written.
func (h *heartbeat) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.timer.Stop()
}

func (h *heartbeat) beat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	h.writer.WriteHeader(http.StatusProcessing)
	h.timer.Reset(h.spacing)
}
