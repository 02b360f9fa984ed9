package replicator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/reducer"
	"cowsliptally.example/cowsliptally/tailer"
)

// defaultReadbackTimeout bounds the wait for a record to be read back.
const defaultReadbackTimeout = 10 * time.Second

// Replicator maintains the replicated state at one node. It is safe for concurrent
// use.
type Replicator struct {
	log             Log
	tail            Tail
	peers           Peers
	recorder        Recorder
	clock           clockwork.Clock
	readbackTimeout time.Duration

	state         atomic.Pointer[reducer.State]
	pauseDetector *pauseDetector
	// peerOffset is the highest offset that any peer reported.
	peerOffset atomic.Uint64
	// wake starts a query of the peers before the interval has passed.
	wake chan struct{}

	mu            sync.Mutex
	recentRecords recentRecords
	// changed is closed and replaced when the state changes.
	changed chan struct{}
	status  Status
	// lastRead is the time of the last successful read of the log.
	lastRead time.Time
	// everCurrent is set once the state was compared with the log or with peers.
	everCurrent bool
	// current is set if it was compared since the last pause.
	current bool
	// pauses counts the pauses of the process, pausesAtRead those before the
	// current read began: a read that began before a pause does not make the
	// state current.
	pauses       int
	pausesAtRead int
	// offsetAtRead is the state's offset when the current read began.
	offsetAtRead uint64
	recovery     *recovery
	// window is the range of records that the log service retained at the last
	// read.
	window Window
}

// New returns a Keeper with the empty state; Run brings it up to date.
func New(log Log, options ...Option) *Replicator {
	k := &Replicator{
		log:             log,
		peers:           noPeers{},
		recorder:        noRecorder{},
		clock:           clockwork.NewRealClock(),
		readbackTimeout: defaultReadbackTimeout,
		wake:            make(chan struct{}, 1),
		changed:         make(chan struct{}),
		status:          StatusStarting,
	}
	for _, option := range options {
		option(k)
	}
	if k.tail == nil {
		k.tail = tailer.New(log, tailer.WithClock(k.clock))
	}
	k.pauseDetector = newPauseDetector(k.clock)
	k.state.Store(&reducer.State{})
	return k
}

// State returns the replicated state.
func (k *Replicator) State() reducer.State { return *k.state.Load() }

// Configuration returns the configuration in force at this node.
func (k *Replicator) Configuration() fleet.Configuration { return k.State().Configuration() }

// Ready reports whether the state was compared with the log or with several
// peers since the last pause of the process.
func (k *Replicator) Ready() bool {
	if k.pauseDetector.paused() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// Status returns whether this node can read the log service.
func (k *Replicator) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status
}

// LastConfirmed returns the time of the last successful read of the log, or the zero
// time if there was none.
func (k *Replicator) LastConfirmed() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastRead
}

// Window returns the range of records that the log service retained at the last
// read.
func (k *Replicator) Window() Window {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.window
}

// ObservePeerOffset records the offset of a peer's next record to apply. If it is ahead of
// this node's state, the peers are queried without waiting for the interval.
func (k *Replicator) ObservePeerOffset(nextOffset uint64) {
	for {
		highest := k.peerOffset.Load()
		if nextOffset <= highest {
			return
		}
		if k.peerOffset.CompareAndSwap(highest, nextOffset) {
			break
		}
	}
	if nextOffset > k.State().NextOffset() {
		k.triggerQuery()
	}
}

// Run tails the log, queries peers where needed and detects pauses of the process
// until ctx is done.
func (k *Replicator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.pauseDetector.mark()
	var tasks sync.WaitGroup
	tasks.Go(func() { k.detectPauses(ctx) })
	tasks.Go(func() { k.runQueries(ctx) })
	err := k.tail.Run(ctx, Stream, (*position)(k), k.handle)
	cancel()
	tasks.Wait()
	return err
}

func (k *Replicator) triggerQuery() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// broadcast wakes all waiters for a change; the caller holds mu.
func (k *Replicator) broadcast() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// nextChange returns a channel that is closed by the next change.
func (k *Replicator) nextChange() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}
