// Package drainer counts work in flight and waits for it to finish before a shutdown.
package drainer

import (
	"context"
	"fmt"
	"sync"
)

// Drainer admits work until it is closed. It is safe for concurrent use.
type Drainer struct {
	mu       sync.Mutex
	closed   bool
	inFlight int
	// drained is closed when no work is in flight after Close.
	drained chan struct{}
}

// New returns an open drainer.
func New() *Drainer {
	return &Drainer{drained: make(chan struct{})}
}

// Enter admits work; it returns false once the drainer is closed.
func (d *Drainer) Enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.inFlight++
	return true
}

// Leave ends work that Enter admitted.
func (d *Drainer) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.closed && d.inFlight == 0 {
		close(d.drained)
	}
}

// Close stops admitting work.
func (d *Drainer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	if d.inFlight == 0 {
		close(d.drained)
	}
}

// Wait waits until a closed drainer has no work in flight.
func (d *Drainer) Wait(ctx context.Context) error {
	select {
	case <-d.drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%d requests are still in flight: %w", d.InFlight(), context.Cause(ctx))
	}
}

// InFlight returns the amount of work in flight.
func (d *Drainer) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}
