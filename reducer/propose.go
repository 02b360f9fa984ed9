package reducer

import (
	"fmt"
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/updater"
)

// maxOperationBytes bounds an operation identifier.
const maxOperationBytes = 200

// Evaluate returns the result that a proposal would have if it were the next
// record, and the configuration that it would create.
func (s State) Evaluate(p *cowsliptallyv1.Proposal) (*cowsliptallyv1.Verdict, fleet.Configuration) {
	result, changed, _ := s.evaluate(p)
	return result, changed
}

func (s State) evaluate(p *cowsliptallyv1.Proposal) (*cowsliptallyv1.Verdict, fleet.Configuration, []string) {
	current := s.configuration.Revision()
	result := &cowsliptallyv1.Verdict{Operation: p.GetOperation(), CurrentRevision: uint64(current)}
	base := fleet.Revision(p.GetBaseRevision())
	if base < current {
		result.Refusal = fmt.Sprintf("conflict: base revision %d is not the current revision %d", base, current)
		return result, s.configuration, nil
	}
	if base > current {
		result.Refusal = fmt.Sprintf("future: base revision %d is above the current revision %d", base, current)
		return result, s.configuration, nil
	}
	changed, summary, err := updater.New(s).Update(s.configuration, p.GetChanges())
	if err != nil {
		result.Refusal = "invalid: " + err.Error()
		return result, s.configuration, nil
	}
	result.Revision = uint64(current + 1)
	return result, changed.WithRevision(current + 1), summary
}

func (s State) applyProposal(offset uint64, p *cowsliptallyv1.Proposal) (State, []fleet.Event) {
	if p.GetOperation() == "" || len(p.GetOperation()) > maxOperationBytes {
		return s.skip(offset, "a proposal's operation identifier is empty or too long")
	}
	if _, found := s.Result(p.GetOperation()); found {
		return s, nil
	}
	result, changed, summary := s.evaluate(p)
	s.results = appendBounded(s.results, result, maxResults)
	if result.GetRefusal() != "" {
		return s, []fleet.Event{fleet.NewEvent(fleet.EventConfigurationRefused, p.GetOperation(), result.GetRefusal())}
	}
	revision := &cowsliptallyv1.Revision{
		Revision:     result.GetRevision(),
		Operation:    p.GetOperation(),
		Author:       p.GetAuthor(),
		TimeUnixNano: p.GetTimeUnixNano(),
		Summary:      summary,
	}
	s.history = appendBounded(s.history, revision, maxHistory)
	figure := fleet.Figure{Name: "revision", Value: float64(result.GetRevision())}
	accepted := fleet.NewEvent(fleet.EventConfigurationAccepted, p.GetOperation(), "by "+p.GetAuthor(), figure)
	s, events := s.withConfiguration(changed, p.GetChanges())
	return s, append([]fleet.Event{accepted}, events...)
}

// withConfiguration puts a configuration in force. Overrides replace ejections,
// and a raised minimum may revoke ejections.
func (s State) withConfiguration(c fleet.Configuration, changes []*cowsliptallyv1.Change) (State, []fleet.Event) {
	affected := overriddenBackends(changes)
	services := make([]fleet.ServiceName, 0, len(affected))
	for _, id := range affected {
		s = s.withoutEjection(id)
		s = s.adjustHealthy(id, -1)
	}
	s.configuration = c
	for _, id := range affected {
		s = s.adjustHealthy(id, 1)
		if backend, found := s.backends.Get(id); found {
			services = append(services, backend.Service)
		}
	}
	for _, change := range changes {
		if service := change.GetPutService(); service != nil {
			services = append(services, fleet.ServiceName(service.GetName()))
		}
	}
	var all []fleet.Event
	for _, service := range services {
		restored, events := s.restoreCapacity(service)
		s = restored
		all = append(all, events...)
	}
	return s, all
}

// overriddenBackends returns the backend servers whose override is put or
// deleted by the changes, each once.
func overriddenBackends(changes []*cowsliptallyv1.Change) []fleet.BackendID {
	var affected []fleet.BackendID
	for _, change := range changes {
		if override := change.GetPutOverride(); override != nil {
			affected = append(affected, fleet.BackendID(override.GetBackend()))
		}
		if id := change.GetDeleteOverride(); id != "" {
			affected = append(affected, fleet.BackendID(id))
		}
	}
	slices.Sort(affected)
	return slices.Compact(affected)
}

// appendBounded returns a copy with the entry at its end, without the oldest
// entries beyond limit.
func appendBounded[T any](entries []T, entry T, limit int) []T {
	if excess := len(entries) + 1 - limit; excess > 0 {
		entries = entries[excess:]
	}
	changed := make([]T, 0, len(entries)+1)
	changed = append(changed, entries...)
	return append(changed, entry)
}
