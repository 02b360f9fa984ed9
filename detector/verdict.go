package detector

import (
	"math"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// wideShift is the normal score of the middle backend server from which a
	// shift of the service enters the reference.
	wideShift = 0.5
	// comparedFrom is the evidence from which peers are looked at, in nats.
	comparedFrom = 4.0
	// peerWeight is how often the evidence against the middle one of the others is
	// taken off: a sum that all share spreads too widely for once.
	peerWeight = 3.0
	// usualRate is the rate of requests to one backend server before it is
	// measured, per second.
	usualRate = 10.0
	// refusalMemory is the number of results after which an old one weighs 1/e.
	refusalMemory = 200.0
	// overloadRefusals is the share of refused requests that shows an overload.
	overloadRefusals = 0.03
	// overloadRelief is the evidence of each answer on the way under overload, in nats.
	overloadRelief = -0.5
	// lateShare is the part of the backend servers, one in so many, that may have
	// late answers before they say nothing of single ones.
	lateShare = 3
	// ratePeriod is the time over which the rate is measured.
	ratePeriod = 10 * time.Second
)

// Threshold returns the thresholds for the present rate of requests.
func (d *Detector) Threshold() Threshold { return NewThreshold(d.rule, d.rate, len(d.kinds)) }

// Rate returns the requests a second to one backend server.
func (d *Detector) Rate() float64 { return d.rate }

// Score returns the evidence of results against a backend server at a time, as
// far as the thresholds let it count.
func (d *Detector) Score(id fleet.BackendID, now time.Time, threshold Threshold) Score {
	return d.score(id, now, threshold, false)
}

// ScoreWaiting returns the evidence of results and of requests in flight.
func (d *Detector) ScoreWaiting(id fleet.BackendID, now time.Time, threshold Threshold) Score {
	return d.score(id, now, threshold, true)
}

func (d *Detector) score(id fleet.BackendID, now time.Time, threshold Threshold, waiting bool) Score {
	t, found := d.tracks[id]
	if !found {
		return Score{}
	}
	var worst Score
	for place := range t.sums {
		nats, cause := t.sums[place].top(threshold)
		if waiting {
			if late := d.late(t, place, now); late > nats {
				nats, cause = late, CauseStuck
			}
		}
		if nats <= worst.Nats {
			continue
		}
		if nats > comparedFrom {
			nats -= peerWeight * d.peerNats(t, place, threshold.WithFailures(1), now)
		}
		if nats > worst.Nats {
			worst = Score{Nats: nats, Cause: cause, Kind: place, Failures: int(t.sums[place].failures)}
		}
	}
	return worst
}

// late returns the evidence of the requests in flight, together with that of
// earlier ones of the request kind.
func (d *Detector) late(t *track, place int, now time.Time) float64 {
	if len(t.pending) == 0 && t.sums[place].stuck == 0 || now.Before(t.grace) {
		return 0
	}
	var slow, stuck most
	for _, p := range t.pending {
		if place != 0 && int(p.kind) != place {
			continue
		}
		start := p.start
		if start.Before(d.resumed) {
			start = d.resumed
		}
		moreSlow, moreStuck := d.pendingNats(int(p.kind), now.Sub(start))
		slow.add(moreSlow)
		stuck.add(moreStuck)
	}
	nats := slow.sum()
	if nats > 0 {
		nats += float64(max(t.sums[place].slow, t.sums[place].path))
	}
	return max(nats, stuck.sum()+float64(t.sums[place].stuck))
}

// pendingNats returns the evidence of a request that lasts at least this long,
// for a slow and for a stuck backend server.
func (d *Detector) pendingNats(place int, lasted time.Duration) (slow, stuck float64) {
	kind := d.kinds[place]
	r := &kind.path
	middle := kind.middle.path
	if !r.ready() {
		r, middle = &kind.slow, kind.middle.slow
	}
	if !r.ready() || lasted <= 0 || d.overloaded() {
		return 0, 0
	}
	z, ratio := r.score(lasted)
	if ratio < d.farRatio() {
		return 0, 0
	}
	z -= max(middle, 0)
	return pendingRatio(z, r.shift(d.rule.SlowFactor)), stuckRatio(z)
}

// farRatio returns the log ratio to the median from which a time speaks for slowness.
func (d *Detector) farRatio() float64 { return math.Log(d.rule.SlowFactor) / 2 }

// peerNats returns the evidence against the middle one of the other backend servers.
func (d *Detector) peerNats(own *track, place int, threshold Threshold, now time.Time) float64 {
	d.scratch = d.scratch[:0]
	for _, t := range d.tracks {
		if t == own || place >= len(t.sums) || now.Sub(t.last) > activeFor {
			continue
		}
		nats, _ := t.sums[place].top(threshold)
		d.scratch = append(d.scratch, max(nats, d.late(t, place, now)))
	}
	return lowerMedian(d.scratch)
}

// findMiddle works out what the middle backend server shows for a request kind.
func (d *Detector) findMiddle(place int, now time.Time) middle {
	return middle{
		slow:    d.median(place, now, func(s *sums) float32 { return s.drift }),
		path:    d.median(place, now, func(s *sums) float32 { return s.pathDrift }),
		failing: d.median(place, now, func(s *sums) float32 { return s.failing }),
		faint:   d.median(place, now, func(s *sums) float32 { return s.faint }),
	}
}

func (d *Detector) median(place int, now time.Time, value func(*sums) float32) float64 {
	d.scratch = d.scratch[:0]
	for _, t := range d.tracks {
		if place < len(t.sums) && now.Sub(t.last) <= activeFor {
			d.scratch = append(d.scratch, float64(value(&t.sums[place])))
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

// countRefusal moves the running share of refused requests.
func (d *Detector) countRefusal(refused bool) {
	value := 0.0
	if refused {
		value = 1
	}
	d.refusals += (value - d.refusals) / refusalMemory
}

// overloaded reports whether so much is refused that waiting says nothing of
// single backend servers.
func (d *Detector) overloaded() bool { return d.refusals > overloadRefusals }

// allLate reports whether late answers are nothing special at the moment: the
// whole service is slow, or many of the backend servers had one of late.
func (d *Detector) allLate(kind *kindState, now time.Time) bool {
	if kind.middle.slow > wideShift || kind.middle.path > wideShift {
		return true
	}
	active, late := 0, 0
	for _, t := range d.tracks {
		if now.Sub(t.last) > activeFor {
			continue
		}
		active++
		if now.Sub(t.late) <= activeFor {
			late++
		}
	}
	return late > max(active/lateShare, 1)
}

// countRate measures the rate of requests to one backend server.
func (d *Detector) countRate(now time.Time) {
	d.samples++
	if d.measured.IsZero() {
		d.measured = now
	}
	passed := now.Sub(d.measured)
	if passed < ratePeriod {
		return
	}
	d.rate = float64(d.samples) / passed.Seconds() / float64(max(len(d.tracks), 1))
	d.samples = 0
	d.measured = now
}

// Waiting returns the backend servers with requests in flight, sorted by name.
// The slice is valid until the next call.
func (d *Detector) Waiting() []fleet.BackendID {
	d.open = d.open[:0]
	for id, t := range d.tracks {
		if len(t.pending) > 0 {
			d.open = append(d.open, id)
		}
	}
	slices.Sort(d.open)
	return d.open
}

// Retain drops the state of all backend servers that are not listed and
// returns them.
func (d *Detector) Retain(listed map[fleet.BackendID]bool) []fleet.BackendID {
	var dropped []fleet.BackendID
	for id := range d.tracks {
		if !listed[id] {
			dropped = append(dropped, id)
			delete(d.tracks, id)
		}
	}
	return dropped
}

// Clear drops the evidence against a backend server.
func (d *Detector) Clear(id fleet.BackendID) {
	t, found := d.tracks[id]
	if !found {
		return
	}
	clear(t.sums)
}

// Kind returns the request kind at a place, or "" for all kinds together.
func (d *Detector) Kind(place int) fleet.RequestKind {
	for kind, at := range d.places {
		if at == place {
			return kind
		}
	}
	return ""
}
