package judge

import (
	"slices"
	"strings"
	"sync"
	"time"

	"cowsliptally.example/cowsliptally/detector"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/floorkeeper"
)

const (
	// TickEvery is the period at which Tick wants to be called.
	TickEvery = 100 * time.Millisecond
	// pauseAfter is the gap between ticks that counts as a pause of this node.
	pauseAfter = 5 * TickEvery
	// reviewEvery is the period at which backend servers are compared with the directory.
	reviewEvery = time.Second
	// coldTime is the time after a cold start in which long times are no evidence.
	coldTime = 30 * time.Second
)

// Judge is a node's verdict on backend servers. It is safe for concurrent use.
type Judge struct {
	clock     Clock
	settings  Settings
	ejections Ejections
	directory Directory
	floor     floorkeeper.Floorkeeper

	mu        sync.Mutex
	detectors map[fleet.ServiceName]*detector.Detector
	trials    map[fleet.BackendID]*trial
	events    []fleet.Event
	ticked    time.Time
	reviewed  time.Time
}

// New returns a judge.
func New(options ...Option) *Judge {
	j := &Judge{
		clock:     systemClock{},
		settings:  noSettings{},
		ejections: noEjections{},
		directory: noDirectory{},
		detectors: map[fleet.ServiceName]*detector.Detector{},
		trials:    map[fleet.BackendID]*trial{},
	}
	for _, option := range options {
		option(j)
	}
	return j
}

// Observe takes in the result of one attempt.
func (j *Judge) Observe(s fleet.Sample) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := j.detector(s.Service)
	d.Observe(s)
	if t, found := j.trials[s.Backend]; found && s.Class != fleet.ClassRefused {
		t.results++
	}
	j.weigh(d, s.Service, s.Backend, s.At, d.Score)
}

// Attempt names a request in flight to Done.
type Attempt struct {
	service fleet.ServiceName
	attempt detector.Attempt
}

// Pending notes that a request goes to a backend server; Done ends it. While it
// runs longer than its kind usually does, it is evidence.
func (j *Judge) Pending(service fleet.ServiceName, id fleet.BackendID, kind fleet.RequestKind) Attempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	return Attempt{service: service, attempt: j.detector(service).Begin(id, kind, j.clock.Now())}
}

// Done notes that a request is no longer in flight. It may come before or after
// Observe: requests in flight are weighed by Tick alone.
func (j *Judge) Done(a Attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if d, found := j.detectors[a.service]; found {
		d.End(a.attempt)
	}
}

// Tick judges requests in flight, ends holds and probations, and returns what
// happened since the last call. It wants to be called every TickEvery.
func (j *Judge) Tick(now time.Time) []fleet.Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.noticePause(now)
	for service, d := range j.detectors {
		for _, id := range d.Waiting() {
			j.weigh(d, service, id, now, d.ScoreWaiting)
		}
	}
	for id, t := range j.trials {
		j.step(id, t, now)
	}
	if now.Sub(j.reviewed) >= reviewEvery {
		j.reviewed = now
		j.review(now)
	}
	events := j.events
	j.events = nil
	slices.SortStableFunc(events, func(a, b fleet.Event) int { return strings.Compare(a.Subject, b.Subject) })
	return events
}

// noticePause keeps a pause of this node from counting as slowness of others.
func (j *Judge) noticePause(now time.Time) {
	if !j.ticked.IsZero() && now.Sub(j.ticked) > pauseAfter {
		for _, d := range j.detectors {
			d.Resume(now)
		}
	}
	j.ticked = now
}

// scorer returns the evidence against a backend server.
type scorer func(fleet.BackendID, time.Time, detector.Threshold) detector.Score

// weigh compares the evidence against a backend server with the thresholds.
func (j *Judge) weigh(
	d *detector.Detector, service fleet.ServiceName, id fleet.BackendID, now time.Time, score scorer,
) {
	t, tried := j.trials[id]
	threshold, limit := limits(d.Threshold(), t)
	found := score(id, now, threshold)
	if found.Nats < limit {
		return
	}
	evidence := Evidence{
		Backend: id, Service: service, Nats: found.Nats, Cause: found.Cause,
		Kind: d.Kind(found.Kind), Failures: found.Failures, Threshold: threshold,
	}
	if !tried {
		t = &trial{service: service}
		j.trials[id] = t
	}
	if t.phase == phaseHeld {
		t.hear(evidence)
		return
	}
	t.degrade(now, evidence, d.Rate())
	j.note(fleet.EventDegradation, id, service, string(evidence.Cause), evidence.Figures())
}

// limits returns the threshold and the least evidence that matter for a backend
// server on trial, or for one that never was when t is nil.
func limits(threshold detector.Threshold, t *trial) (detector.Threshold, float64) {
	switch {
	case t == nil:
		return threshold, threshold.Degrade
	case t.phase == phaseProbation:
		return threshold.WithFailures(1), min(threshold.Degrade, relapseNats+threshold.WithFailures(1).Credit)
	case t.phase == phaseHeld && t.evidence.Cause == CauseAdvised:
		return threshold.WithFailures(1), CorroborationNats
	default:
		return threshold, threshold.Degrade
	}
}

func (j *Judge) note(
	kind fleet.EventKind, id fleet.BackendID, service fleet.ServiceName, reason string, figures []fleet.Figure,
) {
	event := fleet.NewEvent(kind, string(id), reason, figures...).WithService(service)
	j.events = append(j.events, event)
}

// detector returns the detector of a service, with the rule in force.
func (j *Judge) detector(name fleet.ServiceName) *detector.Detector {
	d, found := j.detectors[name]
	if !found {
		service, _ := j.settings.Configuration().Service(name)
		d = detector.New(service.Rule)
		j.detectors[name] = d
	}
	return d
}
