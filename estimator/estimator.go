// Package estimator judges at its owner whether a backend server fails at the moment.
// It does no I/O.
//
// A backend server is in one of two states, sound or failing, and changes between them
// by itself (a hidden Markov chain). Each result moves the probability of the failing
// state by Bayes' rule, and time moves it back towards the usual share of failing ones.
// A failing backend server gets single idempotent requests as trials, so that it is
// found sound soon after it recovers. It answers days on which some backend servers fail
// or slow down for seconds while their health check is good.
package estimator

import (
	"math"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// failingAfter and soundAfter are the mean times in seconds until a sound backend
	// server begins to fail and a failing one recovers: partial failures last seconds.
	failingAfter = 25.0
	soundAfter   = 6.0
	// doubtAbove is the probability of the failing state from which work is refused.
	doubtAbove = 0.5
	// maxProbability keeps the estimate from becoming certain, so that it can turn.
	maxProbability = 0.995
	// overdueFactor is the multiple of the usual time from which a request counts as slow.
	overdueFactor = 5
	// timeShare is the weight of the newest time in the usual one.
	timeShare = 0.05
	// clipFactor bounds what one slow request adds to the usual time, as a multiple of it.
	clipFactor = 2
	// minUsual keeps kinds that take next to no time from counting as slow, in which
	// the scheduling of this node shows.
	minUsual = 20 * time.Millisecond
	// maxKinds bounds the kinds whose usual time is kept.
	maxKinds = 256
)

// Probabilities of a failed and of a slow result in each state. Sound backend servers
// fail about one request in a hundred; failing ones most of them.
const (
	failedIfSound   = 0.015
	failedIfFailing = 0.65
	slowIfSound     = 0.02
	slowIfFailing   = 0.5
)

const (
	// firstSpacing and maxSpacing bound the time from a failed trial to the next one; it
	// doubles in between.
	firstSpacing = 250 * time.Millisecond
	maxSpacing   = time.Second
)

// Estimator holds the estimate for one backend server. It is not safe for concurrent use.
type Estimator struct {
	// failing is the probability of the failing state at the time updated.
	failing float64
	updated time.Time
	usual   map[fleet.RequestKind]time.Duration
	running map[uint64]run
	// spacing is the time to the next trial after the last failure.
	spacing time.Duration
	failed  time.Time
}

// run is a request in flight.
type run struct {
	kind  fleet.RequestKind
	since time.Time
}

// New returns an estimator for a backend server of which nothing is known.
func New(now time.Time) *Estimator {
	return &Estimator{
		failing: stationary,
		updated: now,
		usual:   make(map[fleet.RequestKind]time.Duration),
		running: make(map[uint64]run),
	}
}

// stationary is the probability of the failing state when nothing was seen for long.
const stationary = soundAfter / (soundAfter + failingAfter)

// Begin notes that a request was sent.
func (e *Estimator) Begin(id uint64, kind fleet.RequestKind, now time.Time) {
	e.running[id] = run{kind: kind, since: now}
}

// End takes in the result of a request.
func (e *Estimator) End(id uint64, result Result, now time.Time) {
	r, found := e.running[id]
	if !found {
		return
	}
	delete(e.running, id)
	took := now.Sub(r.since)
	e.pass(now)
	switch {
	case result == Failed:
		e.weigh(failedIfFailing / failedIfSound)
		e.fail(now)
	case e.overdue(r, now):
		e.weigh(slowIfFailing / slowIfSound)
		e.fail(now)
	case result == Answered:
		e.weigh((1 - failedIfFailing) / (1 - failedIfSound))
		e.learn(r.kind, took)
	}
	if e.failing < doubtAbove {
		e.spacing = 0
	}
}

// Failing returns the probability that the backend server fails at present. Requests
// that run for much longer than usual count before they end.
func (e *Estimator) Failing(now time.Time) float64 {
	e.pass(now)
	odds := e.failing / (1 - e.failing)
	for _, r := range e.running {
		if e.overdue(r, now) {
			odds *= slowIfFailing / slowIfSound
		}
	}
	return odds / (1 + odds)
}

// Admits reports whether a request may be sent. While the backend server is doubted
// only a trial may: an idempotent request, one at a time, some time after a failure.
func (e *Estimator) Admits(idempotent bool, now time.Time) bool {
	if !Doubts(e.Failing(now)) {
		return true
	}
	return idempotent && len(e.running) == 0 && now.Sub(e.failed) >= e.spacing
}

// Doubts reports whether a probability of the failing state means doubt.
func Doubts(failing float64) bool { return failing >= doubtAbove }

// fail spaces the trials.
func (e *Estimator) fail(now time.Time) {
	e.failed = now
	e.spacing = min(max(firstSpacing, 2*e.spacing), maxSpacing)
}

// pass moves the estimate towards the usual share of failing backend servers.
func (e *Estimator) pass(now time.Time) {
	seconds := max(0, now.Sub(e.updated).Seconds())
	e.updated = now
	rate := 1/failingAfter + 1/soundAfter
	e.failing = stationary + (e.failing-stationary)*math.Exp(-rate*seconds)
}

// weigh applies Bayes' rule with the ratio of a result's probabilities in both states.
func (e *Estimator) weigh(ratio float64) {
	odds := e.failing / (1 - e.failing) * ratio
	e.failing = min(odds/(1+odds), maxProbability)
}

func (e *Estimator) overdue(r run, now time.Time) bool {
	usual, found := e.usual[r.kind]
	return found && now.Sub(r.since) > overdueFactor*max(usual, minUsual)
}

// learn moves the usual time of a kind towards the newest one.
func (e *Estimator) learn(kind fleet.RequestKind, took time.Duration) {
	usual, found := e.usual[kind]
	switch {
	case !found && len(e.usual) >= maxKinds:
	case !found:
		e.usual[kind] = took
	default:
		took = min(took, clipFactor*usual)
		e.usual[kind] = usual + time.Duration(timeShare*float64(took-usual))
	}
}
