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
func (e *Evaluator) ApplyOwnerEvidence(service fleet.ServiceName, id fleet.BackendID, llr float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.detector(service)
	threshold := d.Threshold()
	if llr < threshold.Degrade {
		return
	}
	a, assessed := e.assessments[id]
	if !assessed {
		a = &assessment{service: service}
		e.assessments[id] = a
	}
	if a.phase == phaseHold {
		return
	}
	evidence := Evidence{Backend: id, Service: service, LLR: llr, Cause: CauseAdvised, Threshold: threshold}
	a.degrade(e.clock.Now(), evidence, d.Rate())
	e.recordEvent(fleet.EventDegradation, id, service, string(CauseAdvised), evidence.Figures())
}

// OwnEvidence returns this node's own evidence against a degraded backend server, for
// Advise on other nodes. It returns false when only the owner's evidence degraded it.
func (e *Evaluator) OwnEvidence(id fleet.BackendID) (Evidence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, found := e.assessments[id]
	if !found || a.phase != phaseHold || a.evidence.Cause == CauseAdvised {
		return Evidence{}, false
	}
	return a.evidence, true
}
