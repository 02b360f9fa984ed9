package relay

import (
	"testing"

	"github.com/matryer/is"
)

func TestGateHoldsWhileCut(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	close(gone)
	g := newGate()
	is.True(g.pass(nil))
	g.set(Direction{Cut: true})
	g.set(Direction{Cut: true})
	is.True(!g.pass(gone)) // only the end of the link ends the wait
	g.set(Direction{})
	is.True(g.pass(nil))
}
