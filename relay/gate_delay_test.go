package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCutHoldsDelayedBytes cuts a direction while bytes wait for their delay: they must be
// held until the cut ends.
func TestCutHoldsDelayedBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate()
		g.set(DirectionFaults{Delay: 100})
		passed := make(chan time.Time, 1)
		start := time.Now()
		go func() {
			if g.wait(nil) {
				passed <- time.Now()
			}
		}()
		time.Sleep(50 * time.Millisecond)
		g.set(DirectionFaults{Cut: true, Delay: 100})
		time.Sleep(time.Second)
		g.set(DirectionFaults{})
		is.Equal((<-passed).Sub(start), 1050*time.Millisecond)
	})
}
