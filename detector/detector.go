package detector

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// maxKinds bounds the request kinds with an index of their own; the others share the
	// last index.
	maxKinds = 16
	// suspectNats is the evidence from which samples are left out of the reference.
	suspectNats = 3.0
	// activeFor is how long a backend server without samples still counts as a peer.
	activeFor = 10 * time.Second
)

// Detector evaluates the backend servers of one service. It is not safe for
// concurrent use.
type Detector struct {
	rule        fleet.Rule
	kinds       []*kindState
	indexes     map[fleet.RequestKind]int
	states      map[fleet.BackendID]*state
	number      uint32
	resumed     time.Time
	rate        float64
	rateSamples int
	rateSince   time.Time
	scratch     []float64
	// refusalShare is the moving average of the share of refused requests.
	refusalShare float64
	inFlight     []fleet.BackendID
}

// New returns a detector for a service with a health rule.
func New(rule fleet.Rule) *Detector {
	return &Detector{
		rule:    rule.WithDefaults(),
		indexes: map[fleet.RequestKind]int{},
		states:  map[fleet.BackendID]*state{},
		rate:    initialRate,
	}
}

// Rule returns the health rule.
func (d *Detector) Rule() fleet.Rule { return d.rule }

// SetRule changes the health rule and keeps all evidence.
func (d *Detector) SetRule(rule fleet.Rule) { d.rule = rule.WithDefaults() }

// Backends returns the number of backend servers with state.
func (d *Detector) Backends() int { return len(d.states) }

// Remove drops the state of a backend server.
func (d *Detector) Remove(id fleet.BackendID) { delete(d.states, id) }

// IgnoreTimes ignores the times of a backend server as evidence until a time, as during
// a cold start.
func (d *Detector) IgnoreTimes(id fleet.BackendID, until time.Time) { d.state(id).ignoreUntil = until }

// Resume records that this process was paused until now: requests in flight are
// timed from now on.
func (d *Detector) Resume(now time.Time) { d.resumed = now }

// Begin records a request sent to a backend server.
func (d *Detector) Begin(id fleet.BackendID, kind fleet.RequestKind, now time.Time) Attempt {
	d.number++
	b := d.state(id)
	if len(b.pending) < maxPending {
		b.pending = append(b.pending, pending{start: now, number: d.number, kind: uint8(d.index(kind))})
	}
	return Attempt{Backend: id, Number: d.number}
}

// End records that a request is no longer in flight.
func (d *Detector) End(a Attempt) {
	if b, found := d.states[a.Backend]; found {
		b.remove(a.Number)
	}
}

// Observe records the result of one attempt.
func (d *Detector) Observe(s fleet.Sample) {
	d.recordRefusal(s.Class == fleet.ClassRefused)
	if s.Class == fleet.ClassRefused {
		return
	}
	d.measureRate(s.At)
	b := d.state(s.Backend)
	b.last = s.At
	index := d.index(s.Kind)
	kind := d.kinds[index]
	b.at(index)
	kind.sinceMedians++
	if kind.sinceMedians >= max(len(d.states)/2, 1) {
		kind.sinceMedians = 0
		kind.median = d.findMedians(index, s.At)
	}
	switch s.Class {
	case fleet.ClassOK:
		d.observeResult(b, index, false)
		d.observeTimes(b, index, s)
		b.at(0).stuck = add(b.at(0).stuck, answeredRatio)
		b.at(index).stuck = add(b.at(index).stuck, answeredRatio)
	case fleet.ClassCancelled:
		d.observeUnanswered(b, index, s)
	case fleet.ClassTimeout:
		b.late = s.At
		if !d.widespreadLateness(kind, s.At) {
			d.observeResult(b, index, true)
		}
		d.observeUnanswered(b, index, s)
	default:
		d.observeResult(b, index, true)
	}
}

// observeResult adds the evidence of a complete or failed answer.
func (d *Detector) observeResult(b *state, index int, failed bool) {
	kind := d.kinds[index]
	all, own := b.at(0), b.at(index)
	usual := min(max(kind.errors.rate(), kind.median.errorRate), maxErrorRate/minRateRatio)
	lowErrors := min(max(d.rule.ErrorRate, usual*minRateRatio), maxErrorRate)
	highErrors := min(max(highErrorRate, usual*minRateRatio), maxErrorRate)
	lowLLR := errorRatio(failed, usual, lowErrors)
	highLLR := errorRatio(failed, usual, highErrors)
	own.updateErrorRate(failed)
	own.addResult(failed, highLLR, lowLLR)
	all.addResult(failed, highLLR, lowLLR)
	kind.errors.add(own.countFailures(failed, kind.median.lowErrors > 0))
}

// observeTimes adds the evidence of service time and path time.
func (d *Detector) observeTimes(b *state, index int, s fleet.Sample) {
	kind := d.kinds[index]
	all, own := b.at(0), b.at(index)
	started := s.At.Add(-max(s.PathTime, s.ServiceTime))
	if s.At.Before(b.ignoreUntil) || started.Before(d.resumed) {
		return
	}
	normal := !b.suspect(index)
	if s.ServiceTime > 0 {
		llr := d.timeLLR(&kind.slow, s.ServiceTime, kind.median.slow, &own.meanScore)
		own.slow = add(own.slow, llr)
		all.slow = add(all.slow, llr)
		if normal || kind.median.slow > serviceShiftScore {
			kind.slow.add(s.ServiceTime)
		}
	}
	if s.PathTime > 0 && d.overloaded() {
		own.path = add(own.path, overloadRelief)
		all.path = add(all.path, overloadRelief)
		return
	}
	if s.PathTime > 0 {
		llr := d.timeLLR(&kind.path, s.PathTime, kind.median.path, &own.meanPathScore)
		own.path = add(own.path, llr)
		all.path = add(all.path, llr)
		if normal || kind.median.path > serviceShiftScore {
			kind.path.add(s.PathTime)
		}
	}
}

// timeLLR returns the log-likelihood ratio of a time, in nats, and updates the moving
// average of its normal score.
func (d *Detector) timeLLR(r *reference, duration time.Duration, median float64, mean *float32) float64 {
	if !r.ready() {
		return 0
	}
	z, ratio := r.score(duration)
	*mean += meanWeight * (float32(z) - *mean)
	shift := r.shift(d.rule.SlowFactor)
	llr := slowRatio(z-max(median, 0), shift)
	if llr > 0 && ratio < d.minLogRatio() {
		return ordinaryTimeNats
	}
	return llr
}

// observeUnanswered adds the evidence of a request that was abandoned before an answer.
func (d *Detector) observeUnanswered(b *state, index int, s fleet.Sample) {
	lasted := max(s.PathTime, s.ServiceTime)
	if s.At.Before(b.ignoreUntil) || s.At.Add(-lasted).Before(d.resumed) {
		return
	}
	slow, stuck := d.pendingLLR(index, lasted)
	if !b.suspect(index) && s.PathTime > 0 {
		d.kinds[index].path.add(s.PathTime)
	}
	for _, sum := range []*sums{b.at(index), b.at(0)} {
		sum.path = add(sum.path, slow)
		sum.stuck = add(sum.stuck, stuck)
	}
}

// index returns the index of a request kind in the service's list, from 1.
func (d *Detector) index(kind fleet.RequestKind) int {
	index, found := d.indexes[kind]
	if found {
		return index
	}
	if len(d.kinds) == 0 {
		d.kinds = append(d.kinds, &kindState{})
	}
	if len(d.kinds) > maxKinds {
		return maxKinds
	}
	d.kinds = append(d.kinds, &kindState{})
	index = len(d.kinds) - 1
	d.indexes[kind] = index
	return index
}

func (d *Detector) state(id fleet.BackendID) *state {
	b, found := d.states[id]
	if !found {
		b = &state{}
		b.at(0)
		d.states[id] = b
	}
	return b
}
