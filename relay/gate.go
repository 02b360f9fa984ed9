package relay

import (
	"sync"
	"time"
)

// gate holds bytes of one direction back.
type gate struct {
	mu    sync.Mutex
	delay time.Duration
	// opened is closed while bytes may pass.
	opened chan struct{}
	cut    bool
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

// set applies a direction's faults, also to bytes that are held now.
func (g *gate) set(direction Direction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = time.Duration(direction.Delay) * time.Millisecond
	if direction.Cut == g.cut {
		return
	}
	g.cut = direction.Cut
	if g.cut {
		g.opened = make(chan struct{})
		return
	}
	close(g.opened)
}

// pass waits until bytes may go on; it returns false once done is closed.
func (g *gate) pass(done <-chan struct{}) bool {
	g.mu.Lock()
	delay, opened := g.delay, g.opened
	g.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-done:
			return false
		}
	}
	select {
	case <-opened:
		return true
	case <-done:
		return false
	}
}
