package detector

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// maxKinds bounds the request kinds that are told apart; the others share the last place.
	maxKinds = 16
	// suspectNats is the evidence from which samples stay out of the reference.
	suspectNats = 3.0
	// activeFor is the time for which a backend server without samples counts as a peer.
	activeFor = 10 * time.Second
)

// Detector watches the backend servers of one service. It is not safe for
// concurrent use.
type Detector struct {
	rule     fleet.Rule
	kinds    []*kindState
	places   map[fleet.RequestKind]int
	tracks   map[fleet.BackendID]*track
	number   uint32
	resumed  time.Time
	rate     float64
	samples  int
	measured time.Time
	scratch  []float64
	// refusals is the running share of refused requests.
	refusals float64
	open     []fleet.BackendID
}

// New returns a detector for a service with the trust rule.
func New(rule fleet.Rule) *Detector {
	return &Detector{
		rule:   rule.WithDefaults(),
		places: map[fleet.RequestKind]int{},
		tracks: map[fleet.BackendID]*track{},
		rate:   usualRate,
	}
}

// Rule returns the trust rule.
func (d *Detector) Rule() fleet.Rule { return d.rule }

// SetRule changes the trust rule and keeps all evidence.
func (d *Detector) SetRule(rule fleet.Rule) { d.rule = rule.WithDefaults() }

// Backends returns the number of backend servers with state.
func (d *Detector) Backends() int { return len(d.tracks) }

// Forget drops the state of a backend server.
func (d *Detector) Forget(id fleet.BackendID) { delete(d.tracks, id) }

// Grace takes long times of a backend server as no evidence until a time, as
// for a cold start.
func (d *Detector) Grace(id fleet.BackendID, until time.Time) { d.track(id).grace = until }

// Resume tells that the observer was paused until now: requests in flight are
// timed from now on.
func (d *Detector) Resume(now time.Time) { d.resumed = now }

// Begin notes a request sent to a backend server.
func (d *Detector) Begin(id fleet.BackendID, kind fleet.RequestKind, now time.Time) Attempt {
	d.number++
	t := d.track(id)
	if len(t.pending) < maxPending {
		t.pending = append(t.pending, pending{start: now, number: d.number, kind: uint8(d.place(kind))})
	}
	return Attempt{Backend: id, Number: d.number}
}

// End notes that a request is no longer in flight.
func (d *Detector) End(a Attempt) {
	if t, found := d.tracks[a.Backend]; found {
		t.remove(a.Number)
	}
}

// Observe takes in the result of one attempt.
func (d *Detector) Observe(s fleet.Sample) {
	d.countRefusal(s.Class == fleet.ClassRefused)
	if s.Class == fleet.ClassRefused {
		return
	}
	d.countRate(s.At)
	t := d.track(s.Backend)
	t.last = s.At
	place := d.place(s.Kind)
	kind := d.kinds[place]
	t.at(place)
	kind.since++
	if kind.since >= max(len(d.tracks)/2, 1) {
		kind.since = 0
		kind.middle = d.findMiddle(place, s.At)
	}
	switch s.Class {
	case fleet.ClassOK:
		d.observeResult(t, place, false)
		d.observeTimes(t, place, s)
		t.at(0).stuck = add(t.at(0).stuck, answeredRatio)
		t.at(place).stuck = add(t.at(place).stuck, answeredRatio)
	case fleet.ClassCancelled:
		d.observeUnanswered(t, place, s)
	case fleet.ClassTimeout:
		t.late = s.At
		if !d.allLate(kind, s.At) {
			d.observeResult(t, place, true)
		}
		d.observeUnanswered(t, place, s)
	default:
		d.observeResult(t, place, true)
	}
}

// observeResult adds the evidence of a whole or failed answer.
func (d *Detector) observeResult(t *track, place int, failed bool) {
	kind := d.kinds[place]
	all, own := t.at(0), t.at(place)
	usual := min(max(kind.errors.rate(), kind.middle.failing), mostErrorRate/farApart)
	faint := min(max(d.rule.ErrorRate, usual*farApart), mostErrorRate)
	gross := min(max(grossErrorRate, usual*farApart), mostErrorRate)
	faintNats := errorRatio(failed, usual, faint)
	grossNats := errorRatio(failed, usual, gross)
	own.addFailing(failed)
	own.addResult(failed, grossNats, faintNats)
	all.addResult(failed, grossNats, faintNats)
	kind.errors.add(own.settle(failed, kind.middle.faint > 0))
}

// observeTimes adds the evidence of service time and path time.
func (d *Detector) observeTimes(t *track, place int, s fleet.Sample) {
	kind := d.kinds[place]
	all, own := t.at(0), t.at(place)
	started := s.At.Add(-max(s.PathTime, s.ServiceTime))
	if s.At.Before(t.grace) || started.Before(d.resumed) {
		return
	}
	trusted := !t.suspect(place)
	if s.ServiceTime > 0 {
		nats := d.weigh(&kind.slow, s.ServiceTime, kind.middle.slow, &own.drift)
		own.slow = add(own.slow, nats)
		all.slow = add(all.slow, nats)
		if trusted || kind.middle.slow > wideShift {
			kind.slow.add(s.ServiceTime)
		}
	}
	if s.PathTime > 0 && d.overloaded() {
		own.path = add(own.path, overloadRelief)
		all.path = add(all.path, overloadRelief)
		return
	}
	if s.PathTime > 0 {
		nats := d.weigh(&kind.path, s.PathTime, kind.middle.path, &own.pathDrift)
		own.path = add(own.path, nats)
		all.path = add(all.path, nats)
		if trusted || kind.middle.path > wideShift {
			kind.path.add(s.PathTime)
		}
	}
}

// weigh returns the evidence of a time in nats and moves the running mean.
func (d *Detector) weigh(r *reference, duration time.Duration, middle float64, drift *float32) float64 {
	if !r.ready() {
		return 0
	}
	z, ratio := r.score(duration)
	*drift += driftWeight * (float32(z) - *drift)
	shift := r.shift(d.rule.SlowFactor)
	nats := slowRatio(z-max(middle, 0), shift)
	if nats > 0 && ratio < d.farRatio() {
		return mildest
	}
	return nats
}

// observeUnanswered adds the evidence of a request that was given up.
func (d *Detector) observeUnanswered(t *track, place int, s fleet.Sample) {
	lasted := max(s.PathTime, s.ServiceTime)
	if s.At.Before(t.grace) || s.At.Add(-lasted).Before(d.resumed) {
		return
	}
	slow, stuck := d.pendingNats(place, lasted)
	if !t.suspect(place) && s.PathTime > 0 {
		d.kinds[place].path.add(s.PathTime)
	}
	for _, sum := range []*sums{t.at(place), t.at(0)} {
		sum.path = add(sum.path, slow)
		sum.stuck = add(sum.stuck, stuck)
	}
}

// place returns the place of a request kind in the service's list, from 1.
func (d *Detector) place(kind fleet.RequestKind) int {
	place, found := d.places[kind]
	if found {
		return place
	}
	if len(d.kinds) == 0 {
		d.kinds = append(d.kinds, &kindState{})
	}
	if len(d.kinds) > maxKinds {
		return maxKinds
	}
	d.kinds = append(d.kinds, &kindState{})
	place = len(d.kinds) - 1
	d.places[kind] = place
	return place
}

func (d *Detector) track(id fleet.BackendID) *track {
	t, found := d.tracks[id]
	if !found {
		t = &track{}
		t.at(0)
		d.tracks[id] = t
	}
	return t
}
