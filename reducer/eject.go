package reducer

import (
	"fmt"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// EjectionRefusal returns why an ejection would be refused if it were the next
// record, or "" if it would be accepted.
func (s State) EjectionRefusal(e *cowsliptallyv1.Ejection) string {
	id := fleet.BackendID(e.GetBackend())
	backend, joined := s.backends.Get(id)
	if !joined {
		return "the backend server has not joined"
	}
	if backend.Service != fleet.ServiceName(e.GetService()) {
		return fmt.Sprintf("the backend server belongs to service %q", backend.Service)
	}
	if _, found := s.ejections.Get(id); found {
		return "the backend server is ejected already"
	}
	if override, found := s.configuration.Override(id); found {
		return fmt.Sprintf("an operator keeps the backend server %s", override.Decision)
	}
	service, found := s.configuration.Service(backend.Service)
	if !found {
		return "the service does not exist"
	}
	remaining := s.HealthySlots(backend.Service) - backend.Slots
	if remaining < service.MinHealthySlots {
		return fmt.Sprintf("%d healthy slots would be left, the minimum is %d", remaining, service.MinHealthySlots)
	}
	return ""
}

func (s State) applyEjection(offset uint64, e *cowsliptallyv1.Ejection) (State, []fleet.Event) {
	service := fleet.ServiceName(e.GetService())
	if refusal := s.EjectionRefusal(e); refusal != "" {
		refused := fleet.NewEvent(fleet.EventEjectionRefused, e.GetBackend(), refusal)
		return s, []fleet.Event{refused.WithService(service)}
	}
	s = s.withEjection(ejection{offset: offset, record: e})
	g, _ := s.groups.Get(service)
	definition, _ := s.configuration.Service(service)
	figures := []fleet.Figure{
		{Name: "healthy", Value: float64(g.healthy), Unit: "slots"},
		{Name: "minimum", Value: float64(definition.MinHealthySlots), Unit: "slots"},
	}
	for _, figure := range e.GetFigures() {
		figures = append(figures, fleet.Figure{Name: figure.GetName(), Value: figure.GetValue(), Unit: figure.GetUnit()})
	}
	accepted := fleet.NewEvent(fleet.EventEjection, e.GetBackend(), e.GetReason(), figures...)
	return s, []fleet.Event{accepted.WithService(service)}
}

func (s State) applyReturn(offset uint64, r *cowsliptallyv1.Return) (State, []fleet.Event) {
	id := fleet.BackendID(r.GetBackend())
	if id == "" {
		return s.skip(offset, "a return names no backend server")
	}
	found, ok := s.ejections.Get(id)
	if !ok {
		return s, nil
	}
	s = s.withoutEjection(id)
	returned := fleet.NewEvent(fleet.EventReturn, r.GetBackend(), r.GetReason())
	return s, []fleet.Event{returned.WithService(fleet.ServiceName(found.record.GetService()))}
}

// restoreCapacity revokes ejections, the oldest first, until the healthy capacity of
// the service is at its minimum or nothing is ejected.
func (s State) restoreCapacity(name fleet.ServiceName) (State, []fleet.Event) {
	service, _ := s.configuration.Service(name)
	var events []fleet.Event
	for {
		g, _ := s.groups.Get(name)
		if g.ejected == 0 || g.healthy >= service.MinHealthySlots {
			return s, events
		}
		oldest := s.oldestEjection(g)
		s = s.withoutEjection(oldest.Key())
		figures := []fleet.Figure{
			{Name: "healthy", Value: float64(g.healthy), Unit: "slots"},
			{Name: "minimum", Value: float64(service.MinHealthySlots), Unit: "slots"},
		}
		readmitted := fleet.NewEvent(fleet.EventReadmission, string(oldest.Key()), "healthy capacity fell below the minimum", figures...)
		events = append(events, readmitted.WithService(name))
	}
}

// oldestEjection returns the ejection with the lowest offset in a group that has one.
func (s State) oldestEjection(g group) ejection {
	var oldest ejection
	for _, id := range g.members {
		found, ok := s.ejections.Get(id)
		if ok && (oldest.record == nil || found.offset < oldest.offset) {
			oldest = found
		}
	}
	return oldest
}

func (s State) withEjection(e ejection) State {
	s = s.adjustHealthy(e.Key(), -1)
	s.ejections = s.ejections.With(e)
	return s.adjustEjected(e.Key(), 1)
}

func (s State) withoutEjection(id fleet.BackendID) State {
	if _, found := s.ejections.Get(id); !found {
		return s
	}
	s = s.adjustEjected(id, -1)
	s.ejections = s.ejections.Without(id)
	return s.adjustHealthy(id, 1)
}
