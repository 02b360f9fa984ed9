package evaluator

import (
	"time"

	"cowsliptally.example/cowsliptally/detector"
	"cowsliptally.example/cowsliptally/fleet"
)

// Reasons of events about recovery.
const (
	reasonHoldOver     = "hold-over"
	reasonProbationEnd = "probation-passed"
	reasonReturned     = "returned"
)

// step ends the hold or advances the probation of one backend server when it is due.
func (e *Evaluator) step(id fleet.BackendID, a *assessment, now time.Time) {
	if a.ejected {
		return
	}
	d := e.detector(a.service)
	switch a.phase {
	case phaseHold:
		if now.Sub(a.since) >= a.hold {
			d.Clear(id)
			a.startProbation(now)
			e.recordEvent(fleet.EventRecovery, id, a.service, reasonHoldOver, nil)
		}
	case phaseProbation:
		if a.advanceStage(now) {
			e.recordEvent(fleet.EventRecovery, id, a.service, reasonProbationEnd, nil)
		}
	default:
		if now.Sub(a.since) > maxHold+assessmentRetention {
			delete(e.assessments, id)
		}
	}
}

// assessmentRetention is the time without fault after which an assessment is removed.
const assessmentRetention = time.Hour

// review applies changes of the directory, the rules and the ejections.
func (e *Evaluator) review(now time.Time) {
	configuration := e.settings.Configuration()
	for name, d := range e.detectors {
		service, _ := configuration.Service(name)
		d.SetRule(service.Rule)
		backends := e.directory.Backends(name)
		for _, backend := range backends {
			e.reviewBackend(backend, now)
		}
		if len(backends) > 0 && d.Backends() > len(backends) {
			e.removeUnlisted(d, backends)
		}
	}
}

// removeUnlisted removes the state of backend servers that the directory no longer
// lists.
func (e *Evaluator) removeUnlisted(d *detector.Detector, backends []fleet.Backend) {
	listed := make(map[fleet.BackendID]bool, len(backends))
	for _, backend := range backends {
		listed[backend.ID] = true
	}
	for _, id := range d.Retain(listed) {
		delete(e.assessments, id)
	}
}

// reviewBackend applies the life cycle state and the ejection of one backend server.
func (e *Evaluator) reviewBackend(backend fleet.Backend, now time.Time) {
	d := e.detectors[backend.Service]
	switch backend.State {
	case fleet.BackendStarting:
		d.IgnoreTimes(backend.ID, now.Add(coldStartTime))
	case fleet.BackendGone:
		d.Remove(backend.ID)
		delete(e.assessments, backend.ID)
		return
	default:
	}
	_, ejected := e.ejections.Ejected(backend.ID)
	a, found := e.assessments[backend.ID]
	if !found && !ejected {
		return
	}
	if !found {
		a = &assessment{service: backend.Service, hold: firstHold}
		e.assessments[backend.ID] = a
	}
	if a.ejected && !ejected {
		d.Clear(backend.ID)
		a.startProbation(now)
		e.recordEvent(fleet.EventRecovery, backend.ID, backend.Service, reasonReturned, nil)
	}
	a.ejected = ejected
}
