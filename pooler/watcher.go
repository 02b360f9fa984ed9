package pooler

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// watcher cancels an exchange when no byte was transferred in either direction
// during a whole progress timeout.
type watcher struct {
	clock    clockwork.Clock
	progress time.Duration
	// onStall and onProgress are Message.OnStall and Message.OnProgress.
	onStall    func(Stall) bool
	onProgress func() bool
	cancel     context.CancelCauseFunc

	mu        sync.Mutex
	used      *conn
	reused    bool
	transfers uint64
	// stalls counts the progress timeouts since a byte was transferred.
	stalls  int
	timer   clockwork.Timer
	stopped bool
}

// start starts watching a connection.
func (w *watcher) start(used *conn, reused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used, w.reused, w.transfers = used, reused, used.transfers()
	if w.progress > 0 && w.timer == nil {
		w.timer = w.clock.AfterFunc(w.progress, w.check)
	}
}

// stop stops watching.
func (w *watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// check cancels an exchange that makes no progress, unless it has ended or a byte was transferred
// while onStall considered it.
func (w *watcher) check() {
	stall, watching := w.stall()
	cause, abandoned := errSilent, false
	switch {
	case !watching:
		return
	case stall.Timeouts > 0:
		abandoned = w.onStall == nil || w.onStall(stall)
	case w.onProgress != nil:
		cause, abandoned = errSuperseded, w.onProgress()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case abandoned && w.used.transfers() == w.transfers:
		w.cancel(cause)
	default:
		w.timer.Reset(w.progress)
	}
}

// stall returns the number of checks in a row without progress and the connection's history, or false
// once the exchange has ended.
func (w *watcher) stall() (s Stall, watching bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return Stall{}, false
	}
	transfers := w.used.transfers()
	w.stalls++
	if transfers != w.transfers {
		w.stalls = 0
	}
	w.transfers = transfers
	return Stall{Timeouts: w.stalls, Reused: w.reused, Opened: w.used.opened}, true
}
