// Package accountant bounds the memory that a node reserves for bodies.
package accountant

import "sync/atomic"

// Accountant counts reserved bytes against a bound. It is safe for concurrent use.
type Accountant struct {
	// parent also counts what is reserved here; nil when there is none.
	parent   *Accountant
	bound    int64
	reserved atomic.Int64
	peak     atomic.Int64
}

// New returns an accountant with a bound in bytes.
func New(bound int64) *Accountant {
	return &Accountant{bound: bound}
}

// Share returns an accountant that reserves up to bound bytes of this one's, so that
// one use of memory leaves room for others.
func (a *Accountant) Share(bound int64) *Accountant {
	return &Accountant{parent: a, bound: bound}
}

// Reserve reserves n bytes, or returns false when that would exceed a bound.
func (a *Accountant) Reserve(n int64) bool {
	reserved := a.reserved.Add(n)
	if reserved > a.bound || a.parent != nil && !a.parent.Reserve(n) {
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

// Release frees n reserved bytes.
func (a *Accountant) Release(n int64) {
	a.reserved.Add(-n)
	if a.parent != nil {
		a.parent.Release(n)
	}
}

// Bound returns the bound in bytes.
func (a *Accountant) Bound() int64 { return a.bound }

// Reserved returns the bytes reserved at present.
func (a *Accountant) Reserved() int64 { return a.reserved.Load() }

// Peak returns the most bytes that were reserved at a time.
func (a *Accountant) Peak() int64 { return a.peak.Load() }
