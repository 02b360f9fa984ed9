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
func (j *Evaluator) step(id fleet.BackendID, a *assessment, now time.Time) {
	if a.ejected {
		return
	}
	d := j.detector(a.service)
	switch a.phase {
	case phaseHold:
		if now.Sub(a.since) >= a.hold {
			d.Clear(id)
			a.startProbation(now)
			j.recordEvent(fleet.EventRecovery, id, a.service, reasonHoldOver, nil)
		}
	case phaseProbation:
		if a.advanceStage(now) {
			j.recordEvent(fleet.EventRecovery, id, a.service, reasonProbationEnd, nil)
		}
	default:
		if now.Sub(a.since) > maxHold+assessmentRetention {
			delete(j.assessments, id)
		}
	}
}

// assessmentRetention is the time without fault after which an assessment is removed.
const assessmentRetention = time.Hour

// review applies changes of the directory, the rules and the ejections.
func (j *Evaluator) review(now time.Time) {
	configuration := j.settings.Configuration()
	for name, d := range j.detectors {
		service, _ := configuration.Service(name)
		d.SetRule(service.Rule)
		backends := j.directory.Backends(name)
		for _, backend := range backends {
			j.reviewBackend(backend, now)
		}
		if len(backends) > 0 && d.Backends() > len(backends) {
			j.removeUnlisted(d, backends)
		}
	}
}

// removeUnlisted removes the state of backend servers that the directory no longer
// lists.
func (j *Evaluator) removeUnlisted(d *detector.Detector, backends []fleet.Backend) {
	listed := make(map[fleet.BackendID]bool, len(backends))
	for _, backend := range backends {
		listed[backend.ID] = true
	}
	for _, id := range d.Retain(listed) {
		delete(j.assessments, id)
	}
}

// reviewBackend applies the life cycle state and the ejection of one backend server.
func (j *Evaluator) reviewBackend(backend fleet.Backend, now time.Time) {
	d := j.detectors[backend.Service]
	switch backend.State {
	case fleet.BackendStarting:
		d.IgnoreTimes(backend.ID, now.Add(coldStartTime))
	case fleet.BackendGone:
		d.Remove(backend.ID)
		delete(j.assessments, backend.ID)
		return
	default:
	}
	_, ejected := j.ejections.Ejected(backend.ID)
	a, found := j.assessments[backend.ID]
	if !found && !ejected {
		return
	}
	if !found {
		a = &assessment{service: backend.Service, hold: firstHold}
		j.assessments[backend.ID] = a
	}
	if a.ejected && !ejected {
		d.Clear(backend.ID)
		a.startProbation(now)
		j.recordEvent(fleet.EventRecovery, backend.ID, backend.Service, reasonReturned, nil)
	}
	a.ejected = ejected
}
