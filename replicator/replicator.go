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

// New returns a Replicator with the empty state; Run brings it up to date.
func New(log Log, options ...Option) *Replicator {
	r := &Replicator{
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
		option(r)
	}
	if r.tail == nil {
		r.tail = tailer.New(log, tailer.WithClock(r.clock))
	}
	r.pauseDetector = newPauseDetector(r.clock)
	r.state.Store(&reducer.State{})
	return r
}

// State returns the replicated state.
func (r *Replicator) State() reducer.State { return *r.state.Load() }

// Configuration returns the configuration in force at this node.
func (r *Replicator) Configuration() fleet.Configuration { return r.State().Configuration() }

// Ready reports whether the state was compared with the log or with several
// peers since the last pause of the process.
func (r *Replicator) Ready() bool {
	if r.pauseDetector.paused() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Status returns whether this node can read the log service.
func (r *Replicator) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// LastConfirmed returns the time of the last successful read of the log, or the zero
// time if there was none.
func (r *Replicator) LastConfirmed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRead
}

// Window returns the range of records that the log service retained at the last
// read.
func (r *Replicator) Window() Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window
}

// ObservePeerOffset records the offset of a peer's next record to apply. If it is ahead of
// this node's state, the peers are queried without waiting for the interval.
func (r *Replicator) ObservePeerOffset(nextOffset uint64) {
	for {
		highest := r.peerOffset.Load()
		if nextOffset <= highest {
			return
		}
		if r.peerOffset.CompareAndSwap(highest, nextOffset) {
			break
		}
	}
	if nextOffset > r.State().NextOffset() {
		r.triggerQuery()
	}
}

// Run tails the log, queries peers where needed and detects pauses of the process
// until ctx is done.
func (r *Replicator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.pauseDetector.mark()
	var tasks sync.WaitGroup
	tasks.Go(func() { r.detectPauses(ctx) })
	tasks.Go(func() { r.runQueries(ctx) })
	err := r.tail.Run(ctx, Stream, (*position)(r), r.handle)
	cancel()
	tasks.Wait()
	return err
}

func (r *Replicator) triggerQuery() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// broadcast wakes all waiters for a change; the caller holds mu.
func (r *Replicator) broadcast() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// nextChange returns a channel that is closed by the next change.
func (r *Replicator) nextChange() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
