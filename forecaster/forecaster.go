// Package forecaster estimates the service time of each request kind at one backend server
// from the requests that ran there. It does no I/O.
//
// Load that it answers: a backend server that was slow for a while and has recovered. Callers
// are refused by the expected service time, so refused requests add no evidence, and an
// estimate that never aged would refuse a kind for good. An estimate therefore counts for
// less once its evidence is old.
package forecaster

import (
	"math"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// DefaultNewestWeight is the default weight of the newest service time.
	DefaultNewestWeight = 0.1
	// DefaultMaxKinds is the default bound of the request kinds.
	DefaultMaxKinds = 64
	// lifetime is the age up to which evidence counts in full. Kinds with few requests get one
	// each ten seconds at a backend server.
	lifetime = 15 * time.Second
	// halfLife is the time after which older evidence counts half.
	halfLife = 5 * time.Second
)

// estimate is the expected service time of one kind.
type estimate struct {
	usual time.Duration
	// updated is the time of the newest evidence.
	updated time.Time
}

// Forecaster holds the estimates of one backend server. It is not safe for concurrent use.
type Forecaster struct {
	newestWeight float64
	maxKinds     int
	clip         float64
	kinds        map[fleet.RequestKind]estimate
	// windows holds the longest service times of the same kinds.
	windows map[fleet.RequestKind]*window
	all     estimate
}

// New returns a forecaster without evidence.
func New(options ...Option) *Forecaster {
	f := &Forecaster{
		newestWeight: DefaultNewestWeight,
		maxKinds:     DefaultMaxKinds,
		kinds:        make(map[fleet.RequestKind]estimate),
		windows:      make(map[fleet.RequestKind]*window),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Record updates the estimates with the service time of a request that ended now.
func (f *Forecaster) Record(kind fleet.RequestKind, took time.Duration, now time.Time) {
	f.all = f.average(f.all, took, now)
	previous, found := f.kinds[kind]
	if !found && len(f.kinds) >= f.maxKinds {
		return
	}
	f.kinds[kind] = f.average(previous, took, now)
	f.windowOf(kind, now).record(took, now)
}

// Replace sets the estimate of a kind to a service time that contradicts the earlier ones.
func (f *Forecaster) Replace(kind fleet.RequestKind, took time.Duration, now time.Time) {
	f.all = f.average(f.all, took, now)
	if _, found := f.kinds[kind]; found {
		f.kinds[kind] = estimate{usual: took, updated: now}
	}
}

// Expected returns the expected service time of a kind; 0 if there is no evidence.
func (f *Forecaster) Expected(kind fleet.RequestKind, now time.Time) time.Duration {
	return f.kinds[kind].at(now)
}

// Usual returns the service time of a kind without the reduction by age, and whether its
// evidence still counts in full.
func (f *Forecaster) Usual(kind fleet.RequestKind, now time.Time) (time.Duration, bool) {
	e, found := f.kinds[kind]
	return e.usual, found && e.share(now) == 1
}

// Known reports whether there is evidence about a kind.
func (f *Forecaster) Known(kind fleet.RequestKind) bool {
	_, found := f.kinds[kind]
	return found
}

// Mean returns the mean service time of all kinds; 0 if there is no evidence.
func (f *Forecaster) Mean(now time.Time) time.Duration { return f.all.at(now) }

// Age returns the time since the newest evidence about a kind. Without any, it is the
// longest time.
func (f *Forecaster) Age(kind fleet.RequestKind, now time.Time) time.Duration {
	e, found := f.kinds[kind]
	if !found {
		return math.MaxInt64
	}
	return now.Sub(e.updated)
}

// average returns a moving average with the newest service time. The older the evidence
// before it, the more the newest counts.
func (f *Forecaster) average(previous estimate, took time.Duration, now time.Time) estimate {
	if previous.usual == 0 {
		return estimate{usual: took, updated: now}
	}
	share := previous.share(now)
	if f.clip > 0 && share == 1 {
		took = min(took, time.Duration(f.clip*float64(previous.usual)))
	}
	weight := 1 - (1-f.newestWeight)*share
	return estimate{usual: previous.usual + time.Duration(weight*float64(took-previous.usual)), updated: now}
}

// at returns the estimate, reduced by the age of its evidence.
func (e estimate) at(now time.Time) time.Duration {
	return time.Duration(float64(e.usual) * e.share(now))
}

// share returns how much the evidence counts because of its age, from 0 to 1.
func (e estimate) share(now time.Time) float64 {
	age := now.Sub(e.updated) - lifetime
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
