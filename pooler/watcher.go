package pooler

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// watcher cancels an exchange once a whole progress timeout passed in which
// no byte moved either way.
type watcher struct {
	clock    clockwork.Clock
	progress time.Duration
	cancel   context.CancelCauseFunc

	mu      sync.Mutex
	used    *conn
	moves   uint64
	timer   clockwork.Timer
	stopped bool
}

// start watches a connection.
func (w *watcher) start(used *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used, w.moves = used, used.moves()
	if w.progress > 0 && w.timer == nil {
		w.timer = w.clock.AfterFunc(w.progress, w.check)
	}
}

// stop ends the watch.
func (w *watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	moves := w.used.moves()
	if moves == w.moves {
		w.cancel(errSilent)
		return
	}
	w.moves = moves
	w.timer.Reset(w.progress)
}
