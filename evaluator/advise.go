package evaluator

import (
	"cowsliptally.example/cowsliptally/detector"
	"cowsliptally.example/cowsliptally/fleet"
)

// CauseAdvised marks a backend server that its owner suspects of failing.
const CauseAdvised detector.Cause = "advised"

// ApplyOwnerEvidence applies the evidence, in nats, that the owner of a backend server sent
// with an answer. The owner sees all requests of its backend server and this node
// only its own, so the owner's evidence alone is enough to degrade it here.
func (j *Evaluator) ApplyOwnerEvidence(service fleet.ServiceName, id fleet.BackendID, llr float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := j.detector(service)
	threshold := d.Threshold()
	if llr < threshold.Degrade {
		return
	}
	a, assessed := j.assessments[id]
	if !assessed {
		a = &assessment{service: service}
		j.assessments[id] = a
	}
	if a.phase == phaseHold {
		return
	}
	evidence := Evidence{Backend: id, Service: service, LLR: llr, Cause: CauseAdvised, Threshold: threshold}
	a.degrade(j.clock.Now(), evidence, d.Rate())
	j.recordEvent(fleet.EventDegradation, id, service, string(CauseAdvised), evidence.Figures())
}

// OwnEvidence returns this node's own evidence against a degraded backend server, for
// Advise on other nodes. It returns false when only the owner's evidence degraded it.
func (j *Evaluator) OwnEvidence(id fleet.BackendID) (Evidence, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a, found := j.assessments[id]
	if !found || a.phase != phaseHold || a.evidence.Cause == CauseAdvised {
		return Evidence{}, false
	}
	return a.evidence, true
}
