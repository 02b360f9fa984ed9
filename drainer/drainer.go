// Package drainer counts work in flight and lets it end before a shutdown.
package drainer

import (
	"context"
	"fmt"
	"sync"
)

// Drainer lets work in until it is closed. It is safe for concurrent use.
type Drainer struct {
	mu       sync.Mutex
	closed   bool
	inFlight int
	empty    chan struct{}
}

// New returns an open drainer.
func New() *Drainer {
	return &Drainer{empty: make(chan struct{})}
}

// Enter lets work in; it returns false once the drainer is closed.
func (d *Drainer) Enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.inFlight++
	return true
}

// Leave ends work that Enter let in.
func (d *Drainer) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.closed && d.inFlight == 0 {
		close(d.empty)
	}
}

// Close lets no more work in.
func (d *Drainer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	if d.inFlight == 0 {
		close(d.empty)
	}
}

// Wait waits until a closed drainer has no more work in flight.
func (d *Drainer) Wait(ctx context.Context) error {
	select {
	case <-d.empty:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%d requests are still in flight: %w", d.InFlight(), context.Cause(ctx))
	}
}

// InFlight returns the work in flight.
func (d *Drainer) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}
