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
	// usualRate is the rate of requests to one backend server before it is
	// measured, per second.
	usualRate = 10.0
	// ratePeriod is the time over which the rate is measured.
	ratePeriod = 10 * time.Second
)

// Threshold returns the thresholds for the present rate of requests.
func (d *Detector) Threshold() Threshold { return NewThreshold(d.rule, d.rate) }

// Score returns the evidence against a backend server at a time.
func (d *Detector) Score(id fleet.BackendID, now time.Time) Score {
	t, found := d.tracks[id]
	if !found {
		return Score{}
	}
	failures := d.Threshold().Failures
	var worst Score
	for place := range t.sums {
		nats, cause := t.sums[place].top(failures)
		waiting := d.waiting(t, place, now)
		if waiting > 0 && float64(max(t.sums[place].slow, t.sums[place].path))+waiting > nats {
			nats = float64(max(t.sums[place].slow, t.sums[place].path)) + waiting
			cause = CauseStuck
		}
		if nats <= worst.Nats {
			continue
		}
		if nats > comparedFrom {
			nats -= d.peerNats(t, place, failures, now)
		}
		if nats > worst.Nats {
			worst = Score{Nats: nats, Cause: cause, Kind: place, Failures: int(t.sums[place].failures)}
		}
	}
	return worst
}

// waiting returns the evidence of the requests in flight of a request kind.
func (d *Detector) waiting(t *track, place int, now time.Time) float64 {
	if now.Before(t.grace) {
		return 0
	}
	total := 0.0
	for _, p := range t.pending {
		if place != 0 && int(p.kind) != place {
			continue
		}
		start := p.start
		if start.Before(d.resumed) {
			start = d.resumed
		}
		total += d.pendingNats(int(p.kind), now.Sub(start))
	}
	return total
}

// pendingNats returns the evidence of a request that lasts at least this long.
func (d *Detector) pendingNats(place int, lasted time.Duration) float64 {
	kind := d.kinds[place]
	r := &kind.path
	middle := kind.middle.path
	if !r.ready() {
		r, middle = &kind.slow, kind.middle.slow
	}
	if !r.ready() || lasted <= 0 {
		return 0
	}
	z, ratio := r.score(lasted)
	if ratio < d.farRatio() {
		return 0
	}
	return pendingRatio(z-max(middle, 0), r.shift(d.rule.SlowFactor))
}

// farRatio returns the log ratio to the median from which a time speaks for slowness.
func (d *Detector) farRatio() float64 { return math.Log(d.rule.SlowFactor) / 2 }

// peerNats returns the evidence against the middle one of the other backend servers.
func (d *Detector) peerNats(own *track, place, failures int, now time.Time) float64 {
	d.scratch = d.scratch[:0]
	for _, t := range d.tracks {
		if t == own || place >= len(t.sums) || now.Sub(t.last) > activeFor {
			continue
		}
		nats, _ := t.sums[place].top(failures)
		nats += d.waiting(t, place, now)
		d.scratch = append(d.scratch, nats)
	}
	return lowerMedian(d.scratch)
}

// findMiddle works out what the middle backend server shows for a request kind.
func (d *Detector) findMiddle(place int, now time.Time) middle {
	return middle{
		slow:    d.median(place, now, func(s *sums) float32 { return s.drift }),
		path:    d.median(place, now, func(s *sums) float32 { return s.pathDrift }),
		failing: d.median(place, now, func(s *sums) float32 { return s.failing }),
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
