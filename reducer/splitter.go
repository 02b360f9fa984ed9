package reducer

import (
	"google.golang.org/protobuf/proto"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Split splits a checkpoint into parts of about maxBytes each, so that each
// fits into one record. A small checkpoint is returned whole.
func Split(c *cowsliptallyv1.Checkpoint, maxBytes int) []*cowsliptallyv1.Checkpoint {
	if proto.Size(c) <= maxBytes {
		return []*cowsliptallyv1.Checkpoint{c}
	}
	s := &splitter{whole: c, maxBytes: maxBytes}
	s.startPart()
	from := c.GetConfiguration()
	addEntries(s, from.GetServices(), func(m *cowsliptallyv1.Service) { s.configuration().Services = append(s.configuration().Services, m) })
	addEntries(s, from.GetRoutes(), func(m *cowsliptallyv1.Route) { s.configuration().Routes = append(s.configuration().Routes, m) })
	addEntries(s, from.GetLimits(), func(m *cowsliptallyv1.Limit) { s.configuration().Limits = append(s.configuration().Limits, m) })
	addEntries(s, from.GetOverrides(), func(m *cowsliptallyv1.Override) { s.configuration().Overrides = append(s.configuration().Overrides, m) })
	addEntries(s, c.GetBackends(), func(m *cowsliptallyv1.BackendServer) { s.part.Backends = append(s.part.Backends, m) })
	addEntries(s, c.GetEjected(), func(m *cowsliptallyv1.Ejected) { s.part.Ejected = append(s.part.Ejected, m) })
	addEntries(s, c.GetVerdicts(), func(m *cowsliptallyv1.Verdict) { s.part.Verdicts = append(s.part.Verdicts, m) })
	addEntries(s, c.GetHistory(), func(m *cowsliptallyv1.Revision) { s.part.History = append(s.part.History, m) })
	for _, part := range s.parts {
		part.Parts = uint32(len(s.parts))
	}
	return s.parts
}

// splitter distributes the entries of a checkpoint over consecutive parts.
type splitter struct {
	whole    *cowsliptallyv1.Checkpoint
	maxBytes int
	parts    []*cowsliptallyv1.Checkpoint
	part     *cowsliptallyv1.Checkpoint
	bytes    int
}

func (s *splitter) startPart() {
	s.part = &cowsliptallyv1.Checkpoint{
		NextOffset:    s.whole.GetNextOffset(),
		Checkpointed:  s.whole.GetCheckpointed(),
		Configuration: &cowsliptallyv1.Configuration{Revision: s.whole.GetConfiguration().GetRevision()},
		Part:          uint32(len(s.parts) + 1),
	}
	s.bytes = 0
	s.parts = append(s.parts, s.part)
}

func (s *splitter) configuration() *cowsliptallyv1.Configuration {
	return s.part.GetConfiguration()
}

func addEntries[M proto.Message](s *splitter, entries []M, add func(M)) {
	// fieldBytes is the maximum size of a field's tag and length.
	const fieldBytes = 6
	for _, entry := range entries {
		size := proto.Size(entry) + fieldBytes
		if s.bytes > 0 && s.bytes+size > s.maxBytes {
			s.startPart()
		}
		add(entry)
		s.bytes += size
	}
}
