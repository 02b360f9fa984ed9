package pooler

import (
	"errors"
	"sync"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/heads/weigher"
)

// errHeads is the error of a read for whose head there is no memory.
var errHeads = errors.New("the memory for heads of answers is used up")

// answer reserves memory for the head of the answer that a connection reads. Its methods do
// nothing on nil.
type answer struct {
	memory *accountant.Accountant

	mu   sync.Mutex
	head weigher.Weigher
	// inBody is set once the head has ended.
	inBody   bool
	reserved int64
	// held is the memory reserved for bytes that are held back.
	held   int64
	closed bool
}

// begin notes that an exchange begins.
func (a *answer) begin() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reset()
}

// take passes the memory of the head that was read on to the exchange: the connection may be in
// use again before the head is not.
func (a *answer) take() (reserved int64) {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reserved, a.reserved = a.reserved, 0
	return reserved
}

// close releases all memory.
func (a *answer) close() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.release()
	a.memory.Release(a.held)
	a.held = 0
}

// hold reserves the memory for bytes that are held back, in place of those before, or returns
// false.
func (a *answer) hold(size int) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	more := int64(size) - a.held
	switch {
	case a.closed || more == 0:
		return true
	case more < 0:
		a.memory.Release(-more)
	case !a.memory.Reserve(more):
		return false
	}
	a.held = int64(size)
	return true
}

// admit reserves the memory for the head in bytes that were read, or returns false.
func (a *answer) admit(b []byte) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(b) > 0 && !a.inBody && !a.closed {
		n, ended := a.head.Next(b)
		b = b[n:]
		if more := a.head.Weight() - a.reserved; more > 0 {
			if !a.memory.Reserve(more) {
				return false
			}
			a.reserved += more
		}
		if !ended {
			continue
		}
		if a.head.IsInterim() {
			a.reset()
			continue
		}
		a.inBody = true
	}
	return true
}

// isEncoded reports whether the head that was read names a transfer encoding.
func (a *answer) isEncoded() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	body := a.head.Body()
	return a.inBody && body.IsEncoded()
}

// reset begins another head. The caller holds mu.
func (a *answer) reset() {
	a.release()
	a.head, a.inBody = weigher.Weigher{}, false
}

// release releases the reserved memory. The caller holds mu.
func (a *answer) release() {
	a.memory.Release(a.reserved)
	a.reserved = 0
}
