package prober

import (
	"math/bits"
	"time"

	"golang.org/x/time/rate"

	"cowsliptally.example/cowsliptally/disseminator"
)

const (
	// stopFanout is the number of nodes that each node tells at once of changes that
	// stop work, changeFanout that of other changes.
	stopFanout   = 6
	changeFanout = 3
	// pushDelay gathers changes into one push.
	pushDelay = 50 * time.Millisecond
	// stopsPerSecond and changesPerSecond bound the pushes of one outlet in the long
	// run; changes that come faster share a push.
	stopsPerSecond   = 2
	stopBurst        = 8
	changesPerSecond = 1
	changeBurst      = 3
)

// outlet is a queue of changes with the pace at which they are spread.
type outlet struct {
	queue  *disseminator.Disseminator
	fanout int
	pushes *rate.Limiter
	// wake asks for a push.
	wake chan struct{}
}

func newOutlet(fanout int, pushes *rate.Limiter, copies func(nodes int) int) *outlet {
	return &outlet{
		queue:  disseminator.New(copies),
		fanout: fanout,
		pushes: pushes,
		wake:   make(chan struct{}, 1),
	}
}

// add queues a change that is pushed and piggybacked.
func (o *outlet) add(key disseminator.Key) {
	o.queue.Add(key)
	o.hurry()
}

// hurry asks for a push.
func (o *outlet) hurry() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// stopCopies and changeCopies are how often a change is piggybacked in a fleet of
// so many nodes. Pushes reach most nodes, and a comparison the last ones.
func stopCopies(nodes int) int   { return bits.Len(uint(nodes)) }
func changeCopies(nodes int) int { return bits.Len(uint(nodes))/2 + 2 }
