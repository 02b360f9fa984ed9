// Package estimator estimates, at the owner of a backend server, the probability that
// the backend server is failing at present. It does no I/O.
//
// A backend server is modelled as a two-state hidden Markov chain: healthy or failing.
// Each result updates the probability of the failing state by Bayes' rule, and between
// results the probability decays towards the stationary one. A backend server suspected
// failing gets single requests as trial requests, idempotent ones first, so that its recovery
// is detected soon. This handles backend servers that fail or slow down for seconds while
// their health check still passes.
package estimator

import (
	"math"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forecaster"
)

const (
	// failingAfter and healthyAfter are the mean times in seconds until a healthy backend
	// server begins to fail and a failing one recovers: partial failures last seconds.
	failingAfter = 25.0
	healthyAfter = 6.0
	// failingThreshold is the probability of the failing state from which only trial
	// requests are admitted.
	failingThreshold = 0.5
	// maxProbability keeps the estimate below certainty, so that later results can lower it.
	maxProbability = 0.995
	// overdueFactor is the multiple of the usual service time above which a request counts as slow.
	overdueFactor = 5
	// newestTimeWeight is the weight of the newest service time in the moving average.
	newestTimeWeight = 0.05
	// clipFactor caps a service time before it is averaged, as a multiple of the usual one, so
	// that a single slow request raises the average little.
	clipFactor = 2
	// minUsual is the least usual service time used to detect slow requests. For very
	// short kinds, scheduling delays of this node would otherwise count as slowness.
	minUsual = 20 * time.Millisecond
	// maxKinds bounds the request kinds whose usual service time is kept.
	maxKinds = 256
)

// Probabilities of a failed and of a slow result in each state. Healthy backend
// servers fail about one request in a hundred; failing ones most of them.
const (
	failedIfHealthy = 0.015
	failedIfFailing = 0.65
	slowIfHealthy   = 0.02
	slowIfFailing   = 0.5
)

const (
	// minTrialInterval and maxTrialInterval bound the time from a failure to the next
	// trial request; it doubles with each failure.
	minTrialInterval = 250 * time.Millisecond
	maxTrialInterval = time.Second
	// maxIdle is the time without requests after which a request that is not idempotent may be
	// a trial request as well. A healthy backend server that is suspected failing must get
	// requests every 2 s, also where hardly any request is idempotent.
	maxIdle = 1400 * time.Millisecond
	// manyAttempts is the number of an attempt from which it counts as one of a service that
	// has few backend servers to offer: two others were failing or full.
	manyAttempts = 3
)

// Estimator holds the estimate for one backend server. It is not safe for concurrent use.
type Estimator struct {
	// failing is the probability of the failing state at the time updated.
	failing float64
	updated time.Time
	usual   *forecaster.Forecaster
	running map[uint64]run
	// trialInterval is the time from the last failure to the next trial request.
	trialInterval time.Duration
	failedAt      time.Time
	// sentAt is when the last request was sent.
	sentAt time.Time
}

// run is a request in flight.
type run struct {
	kind  fleet.RequestKind
	since time.Time
}

// New returns an estimator for a backend server without results yet.
func New(now time.Time) *Estimator {
	return &Estimator{
		failing: stationary,
		updated: now,
		usual: forecaster.New(forecaster.WithNewestWeight(newestTimeWeight),
			forecaster.WithMaxKinds(maxKinds), forecaster.WithClip(clipFactor)),
		running: make(map[uint64]run),
	}
}

// stationary is the probability of the failing state after a long time without results.
const stationary = healthyAfter / (healthyAfter + failingAfter)

// Begin records that a request was sent.
func (e *Estimator) Begin(id uint64, kind fleet.RequestKind, now time.Time) {
	e.running[id] = run{kind: kind, since: now}
	e.sentAt = now
}

// End updates the estimate with the result of a request.
func (e *Estimator) End(id uint64, result Result, now time.Time) {
	r, found := e.running[id]
	if !found {
		return
	}
	delete(e.running, id)
	took := now.Sub(r.since)
	e.decay(now)
	switch {
	case result == Failed:
		e.update(failedIfFailing / failedIfHealthy)
		e.recordFailure(now)
	case e.overdue(r, now):
		e.update(slowIfFailing / slowIfHealthy)
		e.recordFailure(now)
		// A backend server whose work has become slower for good is healthy again once the
		// usual time has followed.
		e.usual.Record(r.kind, took, now)
	case result == Answered:
		e.update((1 - failedIfFailing) / (1 - failedIfHealthy))
		e.usual.Record(r.kind, took, now)
	}
	if e.failing < failingThreshold {
		e.trialInterval = 0
	}
}

// FailureProbability returns the probability that the backend server fails at present. Requests
// that have run for much longer than usual count as slow before they end.
func (e *Estimator) FailureProbability(now time.Time) float64 {
	e.decay(now)
	odds := e.failing / (1 - e.failing)
	for _, r := range e.running {
		if e.overdue(r, now) {
			odds *= slowIfFailing / slowIfHealthy
		}
	}
	return odds / (1 + odds)
}

// FailureProbabilityByResults returns the probability without the requests in flight: a stopping
// node goes on when only the long ones are left, which are no sign of failure.
func (e *Estimator) FailureProbabilityByResults(now time.Time) float64 {
	e.decay(now)
	return e.failing
}

// Admits reports whether a request may be sent. While the backend server is
// suspected failing, only a trial request may, while no other request runs: an idempotent one
// once the trial interval since the last failure is over, or any after maxIdle without requests
// if two other backend servers took no work. Where most are healthy, a request that is not
// idempotent is better served by them.
func (e *Estimator) Admits(idempotent bool, attempt int, now time.Time) bool {
	if !IsFailing(e.FailureProbability(now)) {
		return true
	}
	if len(e.running) > 0 {
		return false
	}
	if idempotent && now.Sub(e.failedAt) >= e.trialInterval {
		return true
	}
	return attempt >= manyAttempts && now.Sub(e.sentAt) >= maxIdle
}

// IsFailing reports whether a backend server with this probability of the failing state is
// suspected failing.
func IsFailing(failing float64) bool { return failing >= failingThreshold }

// recordFailure doubles the interval between trial requests, within its bounds.
func (e *Estimator) recordFailure(now time.Time) {
	e.failedAt = now
	e.trialInterval = min(max(minTrialInterval, 2*e.trialInterval), maxTrialInterval)
}

// decay moves the estimate towards the stationary probability.
func (e *Estimator) decay(now time.Time) {
	seconds := max(0, now.Sub(e.updated).Seconds())
	e.updated = now
	rate := 1/failingAfter + 1/healthyAfter
	e.failing = stationary + (e.failing-stationary)*math.Exp(-rate*seconds)
}

// update applies Bayes' rule with the likelihood ratio of a result, failing to healthy.
func (e *Estimator) update(ratio float64) {
	odds := e.failing / (1 - e.failing) * ratio
	e.failing = min(odds/(1+odds), maxProbability)
}

func (e *Estimator) overdue(r run, now time.Time) bool {
	usual, known := e.usual.Usual(r.kind, r.since)
	return known && now.Sub(r.since) > overdueFactor*max(usual, minUsual)
}
