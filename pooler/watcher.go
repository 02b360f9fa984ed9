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
	// doubt is Message.Doubt.
	doubt  func(silences int, reused bool) bool
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	used   *conn
	reused bool
	moves  uint64
	// silences counts the progress timeouts since a byte moved.
	silences int
	timer    clockwork.Timer
	stopped  bool
}

// start watches a connection.
func (w *watcher) start(used *conn, reused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used, w.reused, w.moves = used, reused, used.moves()
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
	if silences := w.look(); silences > 0 && (w.doubt == nil || w.doubt(silences, w.reused)) {
		w.cancel(errSilent)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.progress)
	}
}

// look returns the number of looks in a row that found that no byte moved.
func (w *watcher) look() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return 0
	}
	moves := w.used.moves()
	w.silences++
	if moves != w.moves {
		w.silences = 0
	}
	w.moves = moves
	return w.silences
}
