package prober

import (
	"math/bits"
	"time"

	"golang.org/x/time/rate"

	"cowsliptally.example/cowsliptally/disseminator"
)

const (
	// stopFanout is the number of nodes to which a node pushes changes that stop new work;
	// changeFanout is that for other changes.
	stopFanout   = 6
	changeFanout = 3
	// pushDelay batches changes into one push.
	pushDelay = 50 * time.Millisecond
	// stopsPerSecond and changesPerSecond bound the long-run push rate of a queue;
	// changes that arrive faster share a push.
	stopsPerSecond   = 2
	stopBurst        = 8
	changesPerSecond = 1
	changeBurst      = 3
)

// changeQueue holds pending changes of one priority, with their fanout and push rate.
type changeQueue struct {
	pending *disseminator.Disseminator
	fanout  int
	pushes  *rate.Limiter
	// wake signals that changes await a push.
	wake chan struct{}
}

func newChangeQueue(fanout int, pushes *rate.Limiter, copies func(nodes int) int) *changeQueue {
	return &changeQueue{
		pending: disseminator.New(copies),
		fanout:  fanout,
		pushes:  pushes,
		wake:    make(chan struct{}, 1),
	}
}

// add queues a change that is pushed and piggybacked.
func (q *changeQueue) add(key disseminator.Key) {
	q.pending.Add(key)
	q.requestPush()
}

// requestPush wakes the goroutine that pushes the queue's changes.
func (q *changeQueue) requestPush() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// stopTransmissions and changeTransmissions return how often a change is piggybacked in a
// fleet of the given size. Pushes reach most nodes, and table comparisons the remaining ones.
func stopTransmissions(nodes int) int   { return bits.Len(uint(nodes)) }
func changeTransmissions(nodes int) int { return bits.Len(uint(nodes))/2 + 2 }
