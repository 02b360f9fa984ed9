// Package accountant bounds the memory that a node gives to bodies.
package accountant

import "sync/atomic"

// Accountant counts reserved bytes against a bound. It is safe for concurrent use.
type Accountant struct {
	// whole lends what this one lends on; nil when it is the whole itself.
	whole    *Accountant
	bound    int64
	reserved atomic.Int64
	peak     atomic.Int64
}

// New returns an accountant that lends up to bound bytes.
func New(bound int64) *Accountant {
	return &Accountant{bound: bound}
}

// Share returns an accountant that lends up to bound bytes of this one's, so that
// one use of memory leaves room for others.
func (a *Accountant) Share(bound int64) *Accountant {
	return &Accountant{whole: a, bound: bound}
}

// Reserve lends n bytes, or returns false when the bound would be passed.
func (a *Accountant) Reserve(n int64) bool {
	reserved := a.reserved.Add(n)
	if reserved > a.bound || a.whole != nil && !a.whole.Reserve(n) {
		a.reserved.Add(-n)
		return false
	}
	for peak := a.peak.Load(); reserved > peak; peak = a.peak.Load() {
		if a.peak.CompareAndSwap(peak, reserved) {
			break
		}
	}
	return true
}

// Release gives n bytes back.
func (a *Accountant) Release(n int64) {
	a.reserved.Add(-n)
	if a.whole != nil {
		a.whole.Release(n)
	}
}

// Bound returns the bound in bytes.
func (a *Accountant) Bound() int64 { return a.bound }

// Reserved returns the bytes lent now.
func (a *Accountant) Reserved() int64 { return a.reserved.Load() }

// Peak returns the most bytes that were lent at a time.
func (a *Accountant) Peak() int64 { return a.peak.Load() }
