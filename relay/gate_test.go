package relay

import (
	"testing"

	"github.com/matryer/is"
)

func TestGateBlocksWhileCut(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	close(done)
	g := newGate()
	is.True(g.wait(nil))
	g.set(DirectionFaults{Cut: true})
	g.set(DirectionFaults{Cut: true})
	is.True(!g.wait(done)) // only closing the link ends the wait
	g.set(DirectionFaults{})
	is.True(g.wait(nil))
}
