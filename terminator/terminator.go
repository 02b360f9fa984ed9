// Package terminator bounds the time between the signal that tells a process to end and its
// end. It addresses waits of a shutdown that nothing else bounds, or that are bounded one after
// another: whatever the process waits for, it ends before it is killed, and says what that was.
package terminator

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// DefaultGrace is the time from the signal to SIGKILL until SetGrace is called.
	DefaultGrace = 6 * time.Second
	// reserve is the time before SIGKILL at which the process ends: timers may be 0.5 s late.
	reserve = 550 * time.Millisecond
	// workReserve is that time while there is work that only the end of the process ends. A late timer
	// costs nothing then: what SIGKILL breaks off would have been broken off before.
	workReserve = 100 * time.Millisecond
)

// Terminator ends the process at one deadline, counted from the arrival of the signal. It is
// safe for concurrent use.
type Terminator struct {
	clock clockwork.Clock
	exit  func(waitingFor string, after time.Duration)

	mu    sync.Mutex
	grace time.Duration
	// signalled is when the signal arrived; zero before.
	signalled  time.Time
	timer      clockwork.Timer
	waitingFor string
	// atWork reports whether there is work to go on for; nil if there never is.
	atWork func() bool
	// extended is set once the deadline has passed and the process goes on.
	extended bool
}

// New returns a terminator that calls exit at the deadline, with what the process waits for and
// the time since the signal. It has to end the process.
func New(exit func(waitingFor string, after time.Duration), options ...Option) *Terminator {
	t := &Terminator{clock: clockwork.NewRealClock(), exit: exit, grace: DefaultGrace, waitingFor: "start"}
	for _, option := range options {
		option(t)
	}
	return t
}

// Signal records the arrival of the signal. Later ones change nothing.
func (t *Terminator) Signal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.signalled.IsZero() {
		return
	}
	t.signalled = t.clock.Now()
	t.timer = t.clock.AfterFunc(t.limit(), t.end)
}

// SignalledAt returns when the signal arrived, and whether it has.
func (t *Terminator) SignalledAt() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.signalled, !t.signalled.IsZero()
}

// ExtendWhile has the process go on until shortly before SIGKILL if atWork returns true at the deadline.
func (t *Terminator) ExtendWhile(atWork func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.atWork = atWork
}

// SetGrace sets the time from the signal to SIGKILL.
func (t *Terminator) SetGrace(grace time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grace = grace
	t.extended = false
	if t.timer != nil {
		t.reset(t.limit())
	}
}

// WaitingFor records what the process waits for from now on.
func (t *Terminator) WaitingFor(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waitingFor = what
}

// limit returns the time from the signal to the end. The caller holds mu.
func (t *Terminator) limit() time.Duration { return max(t.grace-reserve, t.grace/2) }

// reset sets the timer to a time after the signal. The caller holds mu.
func (t *Terminator) reset(limit time.Duration) {
	t.timer.Reset(max(0, limit-t.clock.Since(t.signalled)))
}

// extend moves the deadline if there is work to go on for, and reports whether it has.
func (t *Terminator) extend() bool {
	t.mu.Lock()
	atWork, extended := t.atWork, t.extended
	t.mu.Unlock()
	if atWork == nil || extended || !atWork() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extended = true
	t.reset(max(t.grace-workReserve, t.limit()))
	return true
}

func (t *Terminator) end() {
	if t.extend() {
		return
	}
	t.mu.Lock()
	waitingFor, after := t.waitingFor, t.clock.Since(t.signalled)
	t.mu.Unlock()
	t.exit(waitingFor, after)
}
