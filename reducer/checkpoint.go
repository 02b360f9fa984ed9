package reducer

import (
	"fmt"
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/indexer"
	"cowsliptally.example/cowsliptally/translator"
)

// Checkpoint encodes the state as a message; equal states give equal messages.
func (s State) Checkpoint() *cowsliptallyv1.Checkpoint {
	message := &cowsliptallyv1.Checkpoint{
		NextOffset:    s.nextOffset,
		Configuration: translator.ConfigurationToMessage(s.configuration),
		Verdicts:      s.results,
		History:       s.history,
		Checkpointed:  s.checkpointEnd,
	}
	for _, backend := range s.Joined() {
		message.Backends = append(message.Backends, translator.BackendToMessage(backend))
	}
	for _, e := range slices.SortedFunc(s.ejections.All(), compareEjections) {
		message.Ejected = append(message.Ejected, &cowsliptallyv1.Ejected{Ejection: e.record, Offset: e.offset})
	}
	return message
}

// FromCheckpoint restores a state from a whole checkpoint.
func FromCheckpoint(c *cowsliptallyv1.Checkpoint) (State, error) {
	if c.GetParts() > 1 {
		return State{}, restoreError(KindIncomplete, "part %d of %d is not the whole checkpoint", c.GetPart(), c.GetParts())
	}
	names := make(interner)
	s := State{
		configuration: configurationFromMessage(c.GetConfiguration(), names),
		nextOffset:    c.GetNextOffset(),
		checkpointEnd: c.GetCheckpointed(),
		results:       c.GetVerdicts(),
		history:       c.GetHistory(),
	}
	if err := s.addBackends(c.GetBackends(), names); err != nil {
		return State{}, err
	}
	for _, message := range c.GetEjected() {
		e := ejection{offset: message.GetOffset(), record: message.GetEjection()}
		if _, found := s.backends.Get(e.Key()); !found {
			return State{}, restoreError(KindCheckpoint, "ejected backend server %q has not joined", e.Key())
		}
		s = s.withEjection(e)
	}
	return s, nil
}

// addBackends adds the backend servers of a checkpoint to a state without any.
func (s *State) addBackends(messages []*cowsliptallyv1.BackendServer, names interner) error {
	backends := make([]fleet.Backend, 0, len(messages))
	groups := make(map[fleet.ServiceName]group)
	for _, message := range messages {
		backend := names.backend(translator.BackendFromMessage(message))
		if backend.ID == "" || backend.Service == "" {
			return restoreError(KindCheckpoint, "a backend server has no identifier or no service")
		}
		backends = append(backends, backend)
		g := groups[backend.Service]
		g.service = backend.Service
		g.members = append(g.members, backend.ID)
		g.slots += backend.Slots
		if s.inRotation(backend.ID) {
			g.healthy += backend.Slots
		}
		groups[backend.Service] = g
	}
	s.backends = indexer.FromValues(backends)
	if s.backends.Len() != len(backends) {
		return restoreError(KindCheckpoint, "a backend server is listed twice")
	}
	for _, g := range groups {
		slices.Sort(g.members)
		g.members = slices.Clip(g.members)
		s.groups = s.groups.With(g)
	}
	return nil
}

func configurationFromMessage(m *cowsliptallyv1.Configuration, names interner) fleet.Configuration {
	services := convertAll(m.GetServices(), translator.ServiceFromMessage)
	routes := convertAll(m.GetRoutes(), func(m *cowsliptallyv1.Route) fleet.Route {
		return names.route(translator.RouteFromMessage(m))
	})
	limits := convertAll(m.GetLimits(), translator.LimitFromMessage)
	overrides := convertAll(m.GetOverrides(), translator.OverrideFromMessage)
	return fleet.NewConfiguration(fleet.Revision(m.GetRevision()), services, routes, limits, overrides)
}

func convertAll[M, V any](messages []M, convert func(M) V) []V {
	values := make([]V, 0, len(messages))
	for _, message := range messages {
		values = append(values, convert(message))
	}
	return values
}

func restoreError(kind Kind, format string, args ...any) error {
	return &Error{Operation: "restore state", Kind: kind, Err: fmt.Errorf(format, args...)}
}
