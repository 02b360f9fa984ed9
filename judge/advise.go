package judge

import (
	"cowsliptally.example/cowsliptally/detector"
	"cowsliptally.example/cowsliptally/fleet"
)

// CauseAdvised is a backend server that its own owner distrusts.
const CauseAdvised detector.Cause = "advised"

// Advise takes in what the owner of a backend server says of it with an answer:
// its evidence in nats. The owner sees all requests of its backend server, this
// node only its own, so an owner that distrusts it is believed.
func (j *Judge) Advise(service fleet.ServiceName, id fleet.BackendID, nats float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := j.detector(service)
	threshold := d.Threshold()
	if nats < threshold.Degrade {
		return
	}
	t, tried := j.trials[id]
	if !tried {
		t = &trial{service: service}
		j.trials[id] = t
	}
	if t.phase == phaseHeld {
		return
	}
	evidence := Evidence{Backend: id, Service: service, Nats: nats, Cause: CauseAdvised, Threshold: threshold}
	t.degrade(j.clock.Now(), evidence, d.Rate())
	j.note(fleet.EventDegradation, id, service, string(CauseAdvised), evidence.Figures())
}

// Opinion returns the node's own evidence against a backend server while it is
// degraded, for Advise at other nodes; evidence that was only advised counts as none.
func (j *Judge) Opinion(id fleet.BackendID) (Evidence, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t, found := j.trials[id]
	if !found || t.phase != phaseHeld || t.evidence.Cause == CauseAdvised {
		return Evidence{}, false
	}
	return t.evidence, true
}
