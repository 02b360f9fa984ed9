package judge

import (
	"cowsliptally.example/cowsliptally/detector"
	"cowsliptally.example/cowsliptally/fleet"
)

// CauseAdvised marks a backend server that its owner suspects of failing.
const CauseAdvised detector.Cause = "advised"

// Advise applies the evidence, in nats, that the owner of a backend server sent
// with an answer. The owner sees all requests of its backend server and this node
// only its own, so the owner's evidence alone is enough to degrade it here.
func (j *Judge) Advise(service fleet.ServiceName, id fleet.BackendID, llr float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := j.detector(service)
	threshold := d.Threshold()
	if llr < threshold.Degrade {
		return
	}
	t, assessed := j.assessments[id]
	if !assessed {
		t = &assessment{service: service}
		j.assessments[id] = t
	}
	if t.phase == phaseHold {
		return
	}
	evidence := Evidence{Backend: id, Service: service, Nats: llr, Cause: CauseAdvised, Threshold: threshold}
	t.degrade(j.clock.Now(), evidence, d.Rate())
	j.recordEvent(fleet.EventDegradation, id, service, string(CauseAdvised), evidence.Figures())
}

// Opinion returns this node's own evidence against a degraded backend server, for
// Advise on other nodes. It returns false when only the owner's evidence degraded it.
func (j *Judge) Opinion(id fleet.BackendID) (Evidence, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t, found := j.assessments[id]
	if !found || t.phase != phaseHold || t.evidence.Cause == CauseAdvised {
		return Evidence{}, false
	}
	return t.evidence, true
}
