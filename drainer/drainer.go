// Package drainer counts all work in flight of a node and waits for it to finish before a
// shutdown. It holds one count for the whole node: with one for each package, work that
// passes from one package to another is in none for a moment.
package drainer

import (
	"context"
	"fmt"
	"strings"
	"sync"
)

// Drainer admits work until its kind is closed. It is safe for concurrent use.
type Drainer struct {
	mu       sync.Mutex
	closed   [kinds]bool
	inFlight [kinds]int
	// finished is closed, and replaced, when the last work of a closed kind ends.
	finished chan struct{}
}

// New returns a drainer that admits work of all kinds.
func New() *Drainer {
	return &Drainer{finished: make(chan struct{})}
}

// Enter admits work; it returns false once its kind is closed.
func (d *Drainer) Enter(kind Kind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed[kind] {
		return false
	}
	d.inFlight[kind]++
	return true
}

// Leave ends work that Enter admitted.
func (d *Drainer) Leave(kind Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[kind]--
	if d.closed[kind] && d.inFlight[kind] == 0 {
		close(d.finished)
		d.finished = make(chan struct{})
	}
}

// Close stops admitting work of these kinds.
func (d *Drainer) Close(closing ...Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, kind := range closing {
		d.closed[kind] = true
	}
}

// Closed reports whether work of a kind is not admitted any more.
func (d *Drainer) Closed(kind Kind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed[kind]
}

// Wait waits until no work of these kinds, or of all without any, is in flight, as far as they are
// closed.
func (d *Drainer) Wait(ctx context.Context, waited ...Kind) error {
	if len(waited) == 0 {
		for kind := range kinds {
			waited = append(waited, kind)
		}
	}
	for {
		left, finished := d.left(waited)
		if left == 0 {
			return nil
		}
		select {
		case <-finished:
		case <-ctx.Done():
			return fmt.Errorf("%d are still in flight (%s): %w", left, d.Summary(), context.Cause(ctx))
		}
	}
}

// left returns the amount of work of those kinds that are closed, and a channel that is closed when a
// closed kind has none left.
func (d *Drainer) left(waited []Kind) (count int, finished <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, kind := range waited {
		if d.closed[kind] {
			count += d.inFlight[kind]
		}
	}
	return count, d.finished
}

// InFlight returns the amount of work of a kind.
func (d *Drainer) InFlight(kind Kind) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight[kind]
}

// Summary returns the amount of work of each kind for logs.
func (d *Drainer) Summary() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	parts := make([]string, 0, kinds)
	for kind, count := range d.inFlight {
		parts = append(parts, fmt.Sprintf("%s=%d", Kind(kind), count))
	}
	return strings.Join(parts, " ")
}
