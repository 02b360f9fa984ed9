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

// step moves one trial on in time.
func (j *Judge) step(id fleet.BackendID, t *trial, now time.Time) {
	if t.ejected {
		return
	}
	d := j.detector(t.service)
	switch t.phase {
	case phaseHeld:
		if now.Sub(t.since) >= t.hold {
			d.Clear(id)
			t.probe(now)
			j.note(fleet.EventRecovery, id, t.service, reasonHoldOver, nil)
		}
	case phaseProbation:
		if t.advance(now) {
			j.note(fleet.EventRecovery, id, t.service, reasonProbationEnd, nil)
		}
	default:
		if now.Sub(t.since) > longestHold+longestTrust {
			delete(j.trials, id)
		}
	}
}

// longestTrust is the time without fault after which a trial is forgotten.
const longestTrust = time.Hour

// review follows the directory, the rules and the fold.
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
			j.forgetOthers(d, backends)
		}
	}
}

// forgetOthers drops what is kept of backend servers that the directory no
// longer lists.
func (j *Judge) forgetOthers(d *detector.Detector, backends []fleet.Backend) {
	listed := make(map[fleet.BackendID]bool, len(backends))
	for _, backend := range backends {
		listed[backend.ID] = true
	}
	for _, id := range d.Retain(listed) {
		delete(j.trials, id)
	}
}

// reviewBackend follows the life cycle and the ejection of one backend server.
func (j *Judge) reviewBackend(backend fleet.Backend, now time.Time) {
	d := j.detectors[backend.Service]
	switch backend.State {
	case fleet.BackendStarting:
		d.Grace(backend.ID, now.Add(coldTime))
	case fleet.BackendGone:
		d.Forget(backend.ID)
		delete(j.trials, backend.ID)
		return
	default:
	}
	_, ejected := j.ejections.Ejected(backend.ID)
	t, found := j.trials[backend.ID]
	if !found && !ejected {
		return
	}
	if !found {
		t = &trial{service: backend.Service, hold: firstHold}
		j.trials[backend.ID] = t
	}
	if t.ejected && !ejected {
		d.Clear(backend.ID)
		t.probe(now)
		j.note(fleet.EventRecovery, backend.ID, backend.Service, reasonReturned, nil)
	}
	t.ejected = ejected
}
