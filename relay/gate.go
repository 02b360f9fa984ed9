package relay

import (
	"sync"
	"time"
)

// gate delays or blocks the bytes of one direction.
type gate struct {
	mu    sync.Mutex
	delay time.Duration
	// opened is a closed channel unless the direction is cut.
	opened chan struct{}
	cut    bool
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

// set applies a direction's faults. The end of a cut also releases blocked bytes.
func (g *gate) set(direction DirectionFaults) {
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

// wait blocks for the delay and until the direction is not cut. It returns false
// if done is closed first.
func (g *gate) wait(done <-chan struct{}) bool {
	if delay, _ := g.state(); delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-done:
			return false
		}
	}
	// A cut that began during the delay holds the bytes as well.
	_, opened := g.state()
	select {
	case <-opened:
		return true
	case <-done:
		return false
	}
}

// state returns the delay, and a channel that is closed once the direction is not cut.
func (g *gate) state() (delay time.Duration, opened <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.delay, g.opened
}
