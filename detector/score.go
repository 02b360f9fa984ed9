package detector

import (
	"math"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// serviceShiftScore is the normal score of the median backend server from which
	// all times are added to the reference, as the whole service has shifted.
	serviceShiftScore = 0.5
	// peerCheckNats is the evidence from which it is compared with that of peers.
	peerCheckNats = 4.0
	// peerWeight is the factor by which the median evidence against the peers is
	// subtracted: sums with a shared cause vary too widely for a factor of 1.
	peerWeight = 3.0
	// initialRate is the rate of requests to one backend server before it is measured,
	// per second.
	initialRate = 10.0
	// refusalWindow is the number of results after which an old one weighs 1/e.
	refusalWindow = 200.0
	// overloadRefusals is the share of refused requests that shows an overload.
	overloadRefusals = 0.03
	// overloadRelief is the path evidence of each answer under overload, in nats.
	overloadRelief = -0.5
	// lateDivisor limits the backend servers with late answers to one in lateDivisor;
	// above it late answers are no evidence against single backend servers.
	lateDivisor = 3
	// ratePeriod is the time over which the rate is measured.
	ratePeriod = 10 * time.Second
)

// Threshold returns the thresholds for the current rate of requests.
func (d *Detector) Threshold() Threshold { return NewThreshold(d.rule, d.rate, len(d.kinds)) }

// Rate returns the requests a second to one backend server.
func (d *Detector) Rate() float64 { return d.rate }

// Score returns the evidence of results against a backend server at a time, with
// the minimum of failed answers that the threshold sets.
func (d *Detector) Score(id fleet.BackendID, now time.Time, threshold Threshold) Score {
	return d.score(id, now, threshold, false)
}

// ScoreWithInFlight returns the evidence of results and of requests in flight.
func (d *Detector) ScoreWithInFlight(id fleet.BackendID, now time.Time, threshold Threshold) Score {
	return d.score(id, now, threshold, true)
}

func (d *Detector) score(id fleet.BackendID, now time.Time, threshold Threshold, waiting bool) Score {
	b, found := d.states[id]
	if !found {
		return Score{}
	}
	var worst Score
	for index := range b.sums {
		llr, cause := b.sums[index].strongest(threshold)
		if waiting {
			if lateLLR := d.lateLLR(b, index, now); lateLLR > llr {
				llr, cause = lateLLR, CauseStuck
			}
		}
		if llr <= worst.LLR {
			continue
		}
		if llr > peerCheckNats {
			llr -= peerWeight * d.peerLLR(b, index, threshold.WithFailures(1), now)
		}
		if llr > worst.LLR {
			worst = Score{LLR: llr, Cause: cause, Kind: index, Failures: int(b.sums[index].failures)}
		}
	}
	return worst
}

// lateLLR returns the evidence of the requests in flight, together with that of
// earlier ones of the request kind.
func (d *Detector) lateLLR(b *state, index int, now time.Time) float64 {
	if len(b.pending) == 0 && b.sums[index].stuck == 0 || now.Before(b.ignoreUntil) {
		return 0
	}
	var slow, stuck largest
	for _, p := range b.pending {
		if index != 0 && int(p.kind) != index {
			continue
		}
		start := p.start
		if start.Before(d.resumed) {
			start = d.resumed
		}
		moreSlow, moreStuck := d.pendingLLR(int(p.kind), now.Sub(start))
		slow.add(moreSlow)
		stuck.add(moreStuck)
	}
	llr := slow.sum()
	if llr > 0 {
		llr += float64(max(b.sums[index].slow, b.sums[index].path))
	}
	return max(llr, stuck.sum()+float64(b.sums[index].stuck))
}

// pendingLLR returns the evidence of a request that has lasted this long,
// for a slow and for a stuck backend server.
func (d *Detector) pendingLLR(index int, lasted time.Duration) (slow, stuck float64) {
	kind := d.kinds[index]
	r := &kind.path
	median := kind.median.path
	if !r.ready() {
		r, median = &kind.slow, kind.median.slow
	}
	if !r.ready() || lasted <= 0 || d.overloaded() {
		return 0, 0
	}
	z, ratio := r.score(lasted)
	if ratio < d.minLogRatio() {
		return 0, 0
	}
	z -= max(median, 0)
	return pendingRatio(z, r.shift(d.rule.SlowFactor)), stuckRatio(z)
}

// minLogRatio returns the log ratio to the median from which a time is evidence of slowness.
func (d *Detector) minLogRatio() float64 { return math.Log(d.rule.SlowFactor) / 2 }

// peerLLR returns the median evidence against the other backend servers.
func (d *Detector) peerLLR(own *state, index int, threshold Threshold, now time.Time) float64 {
	d.scratch = d.scratch[:0]
	for _, b := range d.states {
		if b == own || index >= len(b.sums) || now.Sub(b.last) > activeFor {
			continue
		}
		llr, _ := b.sums[index].strongest(threshold)
		d.scratch = append(d.scratch, max(llr, d.lateLLR(b, index, now)))
	}
	return lowerMedian(d.scratch)
}

// findMedians computes the medians over the backend servers for a request kind.
func (d *Detector) findMedians(index int, now time.Time) medianValues {
	return medianValues{
		slow:      d.median(index, now, func(s *sums) float32 { return s.meanScore }),
		path:      d.median(index, now, func(s *sums) float32 { return s.meanPathScore }),
		errorRate: d.median(index, now, func(s *sums) float32 { return s.errorRate }),
		lowErrors: d.median(index, now, func(s *sums) float32 { return s.lowErrors }),
	}
}

func (d *Detector) median(index int, now time.Time, value func(*sums) float32) float64 {
	d.scratch = d.scratch[:0]
	for _, b := range d.states {
		if index < len(b.sums) && now.Sub(b.last) <= activeFor {
			d.scratch = append(d.scratch, float64(value(&b.sums[index])))
		}
	}
	return lowerMedian(d.scratch)
}

// lowerMedian returns the median, the lower one of two, and 0 for none; it sorts values.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// recordRefusal updates the moving average of the share of refused requests.
func (d *Detector) recordRefusal(refused bool) {
	value := 0.0
	if refused {
		value = 1
	}
	d.refusalShare += (value - d.refusalShare) / refusalWindow
}

// overloaded reports whether so many requests are refused that waiting times are
// no evidence against single backend servers.
func (d *Detector) overloaded() bool { return d.refusalShare > overloadRefusals }

// widespreadLateness reports whether late answers are common at the moment: the
// whole service is slow, or many backend servers had one recently.
func (d *Detector) widespreadLateness(kind *kindState, now time.Time) bool {
	if kind.median.slow > serviceShiftScore || kind.median.path > serviceShiftScore {
		return true
	}
	active, late := 0, 0
	for _, b := range d.states {
		if now.Sub(b.last) > activeFor {
			continue
		}
		active++
		if now.Sub(b.late) <= activeFor {
			late++
		}
	}
	return late > max(active/lateDivisor, 1)
}

// measureRate measures the rate of requests to one backend server.
func (d *Detector) measureRate(now time.Time) {
	d.rateSamples++
	if d.rateSince.IsZero() {
		d.rateSince = now
	}
	passed := now.Sub(d.rateSince)
	if passed < ratePeriod {
		return
	}
	d.rate = float64(d.rateSamples) / passed.Seconds() / float64(max(len(d.states), 1))
	d.rateSamples = 0
	d.rateSince = now
}

// InFlight returns the backend servers with requests in flight, sorted by name.
// The slice is valid until the next call.
func (d *Detector) InFlight() []fleet.BackendID {
	d.inFlight = d.inFlight[:0]
	for id, b := range d.states {
		if len(b.pending) > 0 {
			d.inFlight = append(d.inFlight, id)
		}
	}
	slices.Sort(d.inFlight)
	return d.inFlight
}

// Retain drops the state of all backend servers that are not listed and
// returns them.
func (d *Detector) Retain(listed map[fleet.BackendID]bool) []fleet.BackendID {
	var dropped []fleet.BackendID
	for id := range d.states {
		if !listed[id] {
			dropped = append(dropped, id)
			delete(d.states, id)
		}
	}
	return dropped
}

// Clear drops the evidence against a backend server.
func (d *Detector) Clear(id fleet.BackendID) {
	b, found := d.states[id]
	if !found {
		return
	}
	clear(b.sums)
}

// Kind returns the request kind with an index, or "" for all kinds together.
func (d *Detector) Kind(index int) fleet.RequestKind {
	for kind, at := range d.indexes {
		if at == index {
			return kind
		}
	}
	return ""
}
