package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/folder"
	"cowsliptally.example/cowsliptally/tailer"
)

// defaultReadback bounds the wait for a record to be read back.
const defaultReadback = 10 * time.Second

// Keeper keeps the folded state of one node. It is safe for concurrent use.
type Keeper struct {
	log      Log
	tail     Tail
	peers    Peers
	recorder Recorder
	clock    clockwork.Clock
	readback time.Duration

	state atomic.Pointer[folder.State]
	watch *watch
	// hint is the highest offset that any peer told of.
	hint atomic.Uint64
	// wake starts the peers' duty before its time.
	wake chan struct{}

	mu     sync.Mutex
	recent recent
	// changed is closed and replaced when the state changes.
	changed chan struct{}
	status  Status
	// confirmed is when the log was read last.
	confirmed time.Time
	// known tells whether the state was ever compared with the log or with peers.
	known bool
	// current tells whether it was since the last pause.
	current bool
	// pauses counts the pauses of the process, pausesAtRead those before the
	// read under way began: an answer from before a pause proves nothing.
	pauses       int
	pausesAtRead int
	// offsetAtRead is the state's offset when the read under way began.
	offsetAtRead uint64
	recovery     *recovery
	// window is what the log service keeps.
	window Window
}

// New returns a keeper with the empty state; Run brings it up to date.
func New(log Log, options ...Option) *Keeper {
	k := &Keeper{
		log:      log,
		peers:    noPeers{},
		recorder: noRecorder{},
		clock:    clockwork.NewRealClock(),
		readback: defaultReadback,
		wake:     make(chan struct{}, 1),
		changed:  make(chan struct{}),
		status:   StatusStarting,
	}
	for _, option := range options {
		option(k)
	}
	if k.tail == nil {
		k.tail = tailer.New(log, tailer.WithClock(k.clock))
	}
	k.watch = newWatch(k.clock)
	k.state.Store(&folder.State{})
	return k
}

// State returns the whole fold.
func (k *Keeper) State() folder.State { return *k.state.Load() }

// Configuration returns the configuration in force at this node.
func (k *Keeper) Configuration() fleet.Configuration { return k.State().Configuration() }

// Ready reports whether the state was compared with the log or with several
// peers, and no pause of the process came since.
func (k *Keeper) Ready() bool {
	if k.watch.paused() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// Status returns how this node reaches the log service.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status
}

// Confirmed returns when the log was read last; the zero time before it was.
func (k *Keeper) Confirmed() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmed
}

// Window returns what the log service kept when it was last read.
func (k *Keeper) Window() Window {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.window
}

// Notice takes the offset up to which a peer has folded; the keeper asks its
// peers when the log does not bring it there soon.
func (k *Keeper) Notice(nextOffset uint64) {
	for {
		hint := k.hint.Load()
		if nextOffset <= hint {
			return
		}
		if k.hint.CompareAndSwap(hint, nextOffset) {
			break
		}
	}
	if nextOffset > k.State().NextOffset() {
		k.wakePeers()
	}
}

// Run tails the log, asks peers where needed and watches for pauses until ctx is done.
func (k *Keeper) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.watch.mark()
	var duties sync.WaitGroup
	duties.Go(func() { k.runWatch(ctx) })
	duties.Go(func() { k.runPeers(ctx) })
	err := k.tail.Run(ctx, Stream, (*position)(k), k.handle)
	cancel()
	duties.Wait()
	return err
}

func (k *Keeper) wakePeers() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// broadcast wakes all who wait for a change; the caller holds mu.
func (k *Keeper) broadcast() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// changes returns a channel that is closed by the next change.
func (k *Keeper) changes() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}
