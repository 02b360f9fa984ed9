package judge

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
func (j *Judge) step(id fleet.BackendID, t *assessment, now time.Time) {
	if t.ejected {
		return
	}
	d := j.detector(t.service)
	switch t.phase {
	case phaseHold:
		if now.Sub(t.since) >= t.hold {
			d.Clear(id)
			t.startProbation(now)
			j.recordEvent(fleet.EventRecovery, id, t.service, reasonHoldOver, nil)
		}
	case phaseProbation:
		if t.advanceStage(now) {
			j.recordEvent(fleet.EventRecovery, id, t.service, reasonProbationEnd, nil)
		}
	default:
		if now.Sub(t.since) > maxHold+assessmentRetention {
			delete(j.assessments, id)
		}
	}
}

// assessmentRetention is the time without fault after which an assessment is removed.
const assessmentRetention = time.Hour

// review applies changes of the directory, the rules and the ejections.
func (j *Judge) review(now time.Time) {
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
func (j *Judge) removeUnlisted(d *detector.Detector, backends []fleet.Backend) {
	listed := make(map[fleet.BackendID]bool, len(backends))
	for _, backend := range backends {
		listed[backend.ID] = true
	}
	for _, id := range d.Retain(listed) {
		delete(j.assessments, id)
	}
}

// reviewBackend applies the life cycle state and the ejection of one backend server.
func (j *Judge) reviewBackend(backend fleet.Backend, now time.Time) {
	d := j.detectors[backend.Service]
	switch backend.State {
	case fleet.BackendStarting:
		d.Grace(backend.ID, now.Add(coldStartTime))
	case fleet.BackendGone:
		d.Forget(backend.ID)
		delete(j.assessments, backend.ID)
		return
	default:
	}
	_, ejected := j.ejections.Ejected(backend.ID)
	t, found := j.assessments[backend.ID]
	if !found && !ejected {
		return
	}
	if !found {
		t = &assessment{service: backend.Service, hold: firstHold}
		j.assessments[backend.ID] = t
	}
	if t.ejected && !ejected {
		d.Clear(backend.ID)
		t.startProbation(now)
		j.recordEvent(fleet.EventRecovery, backend.ID, backend.Service, reasonReturned, nil)
	}
	t.ejected = ejected
}
