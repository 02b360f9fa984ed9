package evaluator

import (
	"slices"
	"strings"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/floorkeeper"
)

// Health returns the health of a backend server as this node evaluates it.
func (e *Evaluator) Health(id fleet.BackendID) fleet.Health {
	health, _ := e.healthAndShare(id)
	return health
}

// Share returns the part of a fair share that a backend server may get, from 0 to 1.
func (e *Evaluator) Share(id fleet.BackendID) float64 {
	_, share := e.healthAndShare(id)
	return share
}

func (e *Evaluator) healthAndShare(id fleet.BackendID) (fleet.Health, float64) {
	override, found := e.settings.Configuration().Override(id)
	if found && override.Decision == fleet.DecisionIn {
		return fleet.Healthy, 1
	}
	if found && override.Decision == fleet.DecisionOut {
		return fleet.Ejected, 0
	}
	ejection, ejected := e.ejections.Ejected(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	a, assessed := e.assessments[id]
	if ejected && !e.readmitted(id, fleet.ServiceName(ejection.GetService())) {
		return fleet.Ejected, 0
	}
	if !assessed || a.phase == phaseHealthy {
		return fleet.Healthy, 1
	}
	return fleet.Degraded, a.share()
}

// Evidence returns the node's own evidence against the backend servers that it
// degraded, sorted by name. For one that it degraded on its owner's advice less
// evidence is enough, as it only confirms the owner's.
func (e *Evaluator) Evidence() []Evidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []Evidence
	for _, assessed := range e.assessments {
		if evidence, enough := assessed.reportable(); enough {
			list = append(list, evidence)
		}
	}
	slices.SortFunc(list, func(a, b Evidence) int {
		return strings.Compare(string(a.Backend), string(b.Backend))
	})
	return list
}

// readmitted reports whether the floor of its service readmits an ejected backend server.
func (e *Evaluator) readmitted(id fleet.BackendID, name fleet.ServiceName) bool {
	service, _ := e.settings.Configuration().Service(name)
	if service.MinHealthySlots == 0 {
		return false
	}
	return slices.Contains(e.floor.Readmit(service.MinHealthySlots, e.candidates(name)), id)
}

// candidates returns the backend servers of a service as input for the floor.
func (e *Evaluator) candidates(name fleet.ServiceName) []floorkeeper.Candidate {
	configuration := e.settings.Configuration()
	backends := e.directory.Backends(name)
	candidates := make([]floorkeeper.Candidate, 0, len(backends))
	for _, backend := range backends {
		override, _ := configuration.Override(backend.ID)
		_, ejected := e.ejections.Ejected(backend.ID)
		candidate := floorkeeper.Candidate{
			Backend:         backend.ID,
			Slots:           backend.Slots,
			AcceptsRequests: backend.AcceptsRequests(),
			Ejected:         ejected && override.Decision != fleet.DecisionIn,
			Barred:          override.Decision == fleet.DecisionOut,
		}
		if a, found := e.assessments[backend.ID]; found {
			candidate.LLR = a.evidence.LLR
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}
