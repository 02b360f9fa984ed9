package folder

import (
	"fmt"
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/translator"
)

// Checkpoint returns the state as a message; equal states give equal messages.
func (s State) Checkpoint() *cowsliptallyv1.Checkpoint {
	message := &cowsliptallyv1.Checkpoint{
		NextOffset:    s.nextOffset,
		Configuration: translator.ConfigurationToMessage(s.configuration),
		Verdicts:      s.verdicts,
		History:       s.history,
		Checkpointed:  s.checkpointed,
	}
	for _, backend := range s.Joined() {
		message.Backends = append(message.Backends, translator.BackendToMessage(backend))
	}
	for _, e := range slices.SortedFunc(s.ejections.All(), compareEjections) {
		message.Ejected = append(message.Ejected, &cowsliptallyv1.Ejected{Ejection: e.record, Offset: e.offset})
	}
	return message
}

// FromCheckpoint restores a state.
func FromCheckpoint(c *cowsliptallyv1.Checkpoint) (State, error) {
	if c.GetParts() > 1 {
		return State{}, refuse(KindIncomplete, "part %d of %d is not the whole checkpoint", c.GetPart(), c.GetParts())
	}
	s := State{
		configuration: configuration(c.GetConfiguration()),
		nextOffset:    c.GetNextOffset(),
		checkpointed:  c.GetCheckpointed(),
		verdicts:      c.GetVerdicts(),
		history:       c.GetHistory(),
	}
	for _, message := range c.GetBackends() {
		backend := translator.BackendFromMessage(message)
		if backend.ID == "" || backend.Service == "" {
			return State{}, refuse(KindCheckpoint, "a backend server has no identifier or no service")
		}
		if _, found := s.backends.Get(backend.ID); found {
			return State{}, refuse(KindCheckpoint, "backend server %q is listed twice", backend.ID)
		}
		s = s.withBackend(backend)
	}
	for _, message := range c.GetEjected() {
		e := ejection{offset: message.GetOffset(), record: message.GetEjection()}
		if _, found := s.backends.Get(e.Key()); !found {
			return State{}, refuse(KindCheckpoint, "ejected backend server %q has not joined", e.Key())
		}
		s = s.withEjection(e)
	}
	return s, nil
}

func configuration(m *cowsliptallyv1.Configuration) fleet.Configuration {
	c := fleet.Configuration{}.WithRevision(fleet.Revision(m.GetRevision()))
	for _, service := range m.GetServices() {
		c = c.WithService(translator.ServiceFromMessage(service))
	}
	for _, route := range m.GetRoutes() {
		c = c.WithRoute(translator.RouteFromMessage(route))
	}
	for _, limit := range m.GetLimits() {
		c = c.WithLimit(translator.LimitFromMessage(limit))
	}
	for _, override := range m.GetOverrides() {
		c = c.WithOverride(translator.OverrideFromMessage(override))
	}
	return c
}

func refuse(kind Kind, format string, args ...any) error {
	return &Error{Operation: "restore state", Kind: kind, Err: fmt.Errorf(format, args...)}
}
