package folder

import (
	"fmt"
	"slices"

	"cowsliptally.example/cowsliptally/editor"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// maxOperationBytes bounds an operation identifier.
const maxOperationBytes = 200

// Judge returns the outcome that a proposal would have if it were the next
// record, and the configuration that it would create.
func (s State) Judge(p *cowsliptallyv1.Proposal) (*cowsliptallyv1.Verdict, fleet.Configuration) {
	verdict, changed, _ := s.judge(p)
	return verdict, changed
}

func (s State) judge(p *cowsliptallyv1.Proposal) (*cowsliptallyv1.Verdict, fleet.Configuration, []string) {
	current := s.configuration.Revision()
	verdict := &cowsliptallyv1.Verdict{Operation: p.GetOperation(), CurrentRevision: uint64(current)}
	base := fleet.Revision(p.GetBaseRevision())
	if base < current {
		verdict.Refusal = fmt.Sprintf("conflict: base revision %d is not the current revision %d", base, current)
		return verdict, s.configuration, nil
	}
	if base > current {
		verdict.Refusal = fmt.Sprintf("future: base revision %d is above the current revision %d", base, current)
		return verdict, s.configuration, nil
	}
	changed, summary, err := editor.New(s).Edit(s.configuration, p.GetChanges())
	if err != nil {
		verdict.Refusal = "invalid: " + err.Error()
		return verdict, s.configuration, nil
	}
	verdict.Revision = uint64(current + 1)
	return verdict, changed.WithRevision(current + 1), summary
}

func (s State) propose(offset uint64, p *cowsliptallyv1.Proposal) (State, []fleet.Event) {
	if p.GetOperation() == "" || len(p.GetOperation()) > maxOperationBytes {
		return s.skip(offset, "a proposal's operation identifier is empty or too long")
	}
	if _, found := s.Verdict(p.GetOperation()); found {
		return s, nil
	}
	verdict, changed, summary := s.judge(p)
	s.verdicts = appended(s.verdicts, verdict, maxVerdicts)
	if verdict.GetRefusal() != "" {
		return s, []fleet.Event{fleet.NewEvent(fleet.EventConflict, p.GetOperation(), verdict.GetRefusal())}
	}
	revision := &cowsliptallyv1.Revision{
		Revision:     verdict.GetRevision(),
		Operation:    p.GetOperation(),
		Author:       p.GetAuthor(),
		TimeUnixNano: p.GetTimeUnixNano(),
		Summary:      summary,
	}
	s.history = appended(s.history, revision, maxHistory)
	figure := fleet.Figure{Name: "revision", Value: float64(verdict.GetRevision())}
	accepted := fleet.NewEvent(fleet.EventAccepted, p.GetOperation(), "by "+p.GetAuthor(), figure)
	s, events := s.withConfiguration(changed, p.GetChanges())
	return s, append([]fleet.Event{accepted}, events...)
}

// withConfiguration puts a configuration in force. Overrides replace ejections,
// and a raised minimum takes ejections back.
func (s State) withConfiguration(c fleet.Configuration, changes []*cowsliptallyv1.Change) (State, []fleet.Event) {
	touched := overridden(changes)
	services := make([]fleet.ServiceName, 0, len(touched))
	for _, id := range touched {
		s = s.withoutEjection(id)
		s = s.shiftHealthy(id, -1)
	}
	s.configuration = c
	for _, id := range touched {
		s = s.shiftHealthy(id, 1)
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
		restored, events := s.restore(service)
		s = restored
		all = append(all, events...)
	}
	return s, all
}

// overridden returns the backend servers whose override the changes touch, each once.
func overridden(changes []*cowsliptallyv1.Change) []fleet.BackendID {
	var touched []fleet.BackendID
	for _, change := range changes {
		if override := change.GetPutOverride(); override != nil {
			touched = append(touched, fleet.BackendID(override.GetBackend()))
		}
		if id := change.GetDeleteOverride(); id != "" {
			touched = append(touched, fleet.BackendID(id))
		}
	}
	slices.Sort(touched)
	return slices.Compact(touched)
}

// appended returns a copy with the entry at its end, without the oldest ones beyond limit.
func appended[T any](entries []T, entry T, limit int) []T {
	if excess := len(entries) + 1 - limit; excess > 0 {
		entries = entries[excess:]
	}
	changed := make([]T, 0, len(entries)+1)
	changed = append(changed, entries...)
	return append(changed, entry)
}
