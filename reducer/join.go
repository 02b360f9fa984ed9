package reducer

import (
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/translator"
)

// maxSlots bounds the slots of one backend server.
const maxSlots = 100_000

func (s State) applyJoin(offset uint64, j *cowsliptallyv1.Join) (State, []fleet.Event) {
	backend := translator.BackendFromMessage(j.GetBackend())
	if backend.ID == "" || backend.Service == "" || backend.Owner == "" {
		return s.skip(offset, "a join names no backend server, service or owner")
	}
	if backend.Slots < 1 || backend.Slots > maxSlots {
		return s.skip(offset, "a join has no slots or too many")
	}
	existing, found := s.backends.Get(backend.ID)
	if found && existing.Owner == backend.Owner && existing.Sequence >= backend.Sequence {
		return s, nil
	}
	if found && existing.Service != backend.Service {
		s = s.withoutBackend(existing)
	}
	s = s.withBackend(backend)
	figure := fleet.Figure{Name: "slots", Value: float64(backend.Slots), Unit: "slots"}
	joined := fleet.NewEvent(fleet.EventBackendState, string(backend.ID), "joined", figure)
	events := []fleet.Event{joined.WithService(backend.Service)}
	if found {
		restored, more := s.restoreCapacity(existing.Service)
		s = restored
		events = append(events, more...)
	}
	return s, events
}

func (s State) applyLeave(l *cowsliptallyv1.Leave) (State, []fleet.Event) {
	existing, found := s.backends.Get(fleet.BackendID(l.GetBackend()))
	if !found {
		return s, nil
	}
	if l.GetOwner() != "" && fleet.NodeID(l.GetOwner()) != existing.Owner {
		return s, nil
	}
	s = s.withoutBackend(existing)
	left := fleet.NewEvent(fleet.EventBackendState, l.GetBackend(), "left: "+l.GetReason())
	events := []fleet.Event{left.WithService(existing.Service)}
	restored, more := s.restoreCapacity(existing.Service)
	return restored, append(events, more...)
}

// withBackend adds a backend server or replaces its entry in the same service.
func (s State) withBackend(b fleet.Backend) State {
	existing, found := s.backends.Get(b.ID)
	s = s.adjustHealthy(b.ID, -1)
	s.backends = s.backends.With(b)
	g, _ := s.groups.Get(b.Service)
	g.service = b.Service
	g = g.withMember(b.ID)
	g.slots += b.Slots
	if found {
		g.slots -= existing.Slots
	}
	s.groups = s.groups.With(g)
	return s.adjustHealthy(b.ID, 1)
}

// withoutBackend removes a backend server and its ejection.
func (s State) withoutBackend(b fleet.Backend) State {
	s = s.withoutEjection(b.ID)
	s = s.adjustHealthy(b.ID, -1)
	s.backends = s.backends.Without(b.ID)
	g, _ := s.groups.Get(b.Service)
	g = g.withoutMember(b.ID)
	g.slots -= b.Slots
	if len(g.members) == 0 {
		s.groups = s.groups.Without(b.Service)
		return s
	}
	s.groups = s.groups.With(g)
	return s
}

// adjustHealthy adds the slots of a backend server that is in rotation to the
// healthy capacity of its service, or subtracts them; sign is 1 or -1.
func (s State) adjustHealthy(id fleet.BackendID, sign int) State {
	backend, joined := s.backends.Get(id)
	if !joined || !s.inRotation(id) {
		return s
	}
	g, _ := s.groups.Get(backend.Service)
	g.healthy += sign * backend.Slots
	s.groups = s.groups.With(g)
	return s
}

func (s State) adjustEjected(id fleet.BackendID, change int) State {
	backend, joined := s.backends.Get(id)
	if !joined {
		return s
	}
	g, _ := s.groups.Get(backend.Service)
	g.ejected += change
	s.groups = s.groups.With(g)
	return s
}

// inRotation reports whether a joined backend server counts as healthy capacity.
func (s State) inRotation(id fleet.BackendID) bool {
	if override, found := s.configuration.Override(id); found {
		return override.Decision == fleet.DecisionIn
	}
	_, ejected := s.ejections.Get(id)
	return !ejected
}
