// Package ring provides bounded queues between goroutines.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in, first-out queue that is safe for concurrent use.
type Ring[T any] struct {
	entries chan T
	dropped atomic.Uint64
}

// New returns a ring that holds up to capacity entries.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{entries: make(chan T, capacity)}
}

// Push adds an entry, or drops it and returns false when the ring is full.
func (r *Ring[T]) Push(entry T) bool {
	select {
	case r.entries <- entry:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Pop waits for the next entry; it returns false once ctx is done.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool) {
	select {
	case entry := <-r.entries:
		return entry, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// Dropped returns how many entries were dropped because the ring was full.
func (r *Ring[T]) Dropped() uint64 {
	return r.dropped.Load()
}

// Len returns the number of queued entries.
func (r *Ring[T]) Len() int {
	return len(r.entries)
}
