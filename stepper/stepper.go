// Package stepper provides a clock for tests whose time of day can be stepped, as a machine's
// is when it is set. Durations, deadlines and timers go on as before: they use the monotonic
// readings that time.Now adds. Code that strips or stores a time relies on the time of day, and
// the steps show what that does to it.
package stepper

import (
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/jonboulle/clockwork"
)

// Clock is the real clock with a time of day that can be stepped. It is safe for concurrent
// use.
type Clock struct {
	clockwork.Clock
	// seconds is the sum of all steps.
	seconds atomic.Int64
}

// New returns a clock with the machine's time of day.
func New() *Clock { return &Clock{Clock: clockwork.NewRealClock()} }

// Step sets the time of day forward, or back if seconds is negative.
func (c *Clock) Step(seconds int64) { c.seconds.Add(seconds) }

// Now returns the stepped time of day with the machine's monotonic reading.
func (c *Clock) Now() time.Time { return shift(c.Clock.Now(), c.seconds.Load()) }

// Since returns the time since t, by the monotonic reading if t has one.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t, by the monotonic reading if t has one.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// reading is the layout of time.Time. TestStepsMoveOnlyTheTimeOfDay fails if it changes.
type reading struct {
	wall     uint64
	ext      int64
	location *time.Location
}

// secondBits is the position of the seconds in reading.wall, above the nanoseconds.
const secondBits = 30

// shift changes the time of day of a time with a monotonic reading, and keeps that reading. The
// methods of time.Time change both or strip it.
func shift(t time.Time, seconds int64) time.Time {
	(*reading)(unsafe.Pointer(&t)).wall += uint64(seconds) << secondBits
	return t
}
