package evaluator

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
	// TickEvery is the period at which Tick must be called.
	TickEvery = 100 * time.Millisecond
	// pauseAfter is the gap between ticks that counts as a pause of this node.
	pauseAfter = 5 * TickEvery
	// reviewEvery is the period at which backend servers are compared with the directory.
	reviewEvery = time.Second
	// coldStartTime is the time after a cold start in which long times are no evidence.
	coldStartTime = 30 * time.Second
)

// Evaluator evaluates the health of backend servers at one node. It is safe for
// concurrent use.
type Evaluator struct {
	clock     Clock
	settings  Settings
	ejections Ejections
	directory Directory
	floor     floorkeeper.Floorkeeper

	mu          sync.Mutex
	detectors   map[fleet.ServiceName]*detector.Detector
	assessments map[fleet.BackendID]*assessment
	events      []fleet.Event
	ticked      time.Time
	reviewed    time.Time
}

// New returns an Evaluator.
func New(options ...Option) *Evaluator {
	e := &Evaluator{
		clock:       systemClock{},
		settings:    noSettings{},
		ejections:   noEjections{},
		directory:   noDirectory{},
		detectors:   map[fleet.ServiceName]*detector.Detector{},
		assessments: map[fleet.BackendID]*assessment{},
	}
	for _, option := range options {
		option(e)
	}
	return e
}

// Observe records the result of one attempt.
func (e *Evaluator) Observe(s fleet.Sample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.detector(s.Service)
	d.Observe(s)
	if a, found := e.assessments[s.Backend]; found && s.Class != fleet.ClassRefused {
		a.results++
	}
	e.evaluate(d, s.Service, s.Backend, s.At, d.Score)
}

// Attempt identifies a request in flight for EndAttempt.
type Attempt struct {
	service fleet.ServiceName
	attempt detector.Attempt
}

// StartAttempt records that a request is sent to a backend server; EndAttempt ends it. A
// request that runs longer than is usual for its kind is evidence.
func (e *Evaluator) StartAttempt(service fleet.ServiceName, id fleet.BackendID, kind fleet.RequestKind) Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Attempt{service: service, attempt: e.detector(service).Begin(id, kind, e.clock.Now())}
}

// EndAttempt records that a request is no longer in flight. It may be called before or
// after Observe: requests in flight are evaluated by Tick alone.
func (e *Evaluator) EndAttempt(a Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d, found := e.detectors[a.service]; found {
		d.End(a.attempt)
	}
}

// Tick evaluates requests in flight, ends holds and probations, and returns the
// events since the last call. It must be called every TickEvery.
func (e *Evaluator) Tick(now time.Time) []fleet.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detectPause(now)
	for service, d := range e.detectors {
		for _, id := range d.InFlight() {
			e.evaluate(d, service, id, now, d.ScoreWithInFlight)
		}
	}
	for id, assessed := range e.assessments {
		e.step(id, assessed, now)
	}
	if now.Sub(e.reviewed) >= reviewEvery {
		e.reviewed = now
		e.review(now)
	}
	events := e.events
	e.events = nil
	slices.SortStableFunc(events, func(a, b fleet.Event) int { return strings.Compare(a.Subject, b.Subject) })
	return events
}

// detectPause detects a pause of this node, so that it does not count as slowness of
// backend servers.
func (e *Evaluator) detectPause(now time.Time) {
	if !e.ticked.IsZero() && now.Sub(e.ticked) > pauseAfter {
		for _, d := range e.detectors {
			d.Resume(now)
		}
	}
	e.ticked = now
}

// scorer returns the evidence against a backend server.
type scorer func(fleet.BackendID, time.Time, detector.Threshold) detector.Score

// evaluate compares the evidence against a backend server with the thresholds.
func (e *Evaluator) evaluate(
	d *detector.Detector, service fleet.ServiceName, id fleet.BackendID, now time.Time, score scorer,
) {
	a, assessed := e.assessments[id]
	threshold, limit := limits(d.Threshold(), a)
	found := score(id, now, threshold)
	if found.LLR < limit {
		return
	}
	evidence := Evidence{
		Backend: id, Service: service, LLR: found.LLR, Cause: found.Cause,
		Kind: d.Kind(found.Kind), Failures: found.Failures, Threshold: threshold,
	}
	if !assessed {
		a = &assessment{service: service}
		e.assessments[id] = a
	}
	if a.phase == phaseHold {
		a.addEvidence(evidence)
		return
	}
	a.degrade(now, evidence, d.Rate())
	e.recordEvent(fleet.EventDegradation, id, service, string(evidence.Cause), evidence.Figures())
}

// limits returns the threshold and the least evidence that apply to a backend
// server; a is nil for one that was never degraded.
func limits(threshold detector.Threshold, a *assessment) (detector.Threshold, float64) {
	switch {
	case a == nil:
		return threshold, threshold.Degrade
	case a.phase == phaseProbation:
		return threshold.WithFailures(1), min(threshold.Degrade, relapseNats+threshold.WithFailures(1).ErrorOffset)
	case a.phase == phaseHold && a.evidence.Cause == CauseAdvised:
		return threshold.WithFailures(1), CorroborationNats
	default:
		return threshold, threshold.Degrade
	}
}

func (e *Evaluator) recordEvent(
	kind fleet.EventKind, id fleet.BackendID, service fleet.ServiceName, reason string, figures []fleet.Figure,
) {
	event := fleet.NewEvent(kind, string(id), reason, figures...).WithService(service)
	e.events = append(e.events, event)
}

// detector returns the detector of a service and creates it with the rule in force.
func (e *Evaluator) detector(name fleet.ServiceName) *detector.Detector {
	d, found := e.detectors[name]
	if !found {
		service, _ := e.settings.Configuration().Service(name)
		d = detector.New(service.Rule)
		e.detectors[name] = d
	}
	return d
}
