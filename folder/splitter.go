package folder

import (
	"google.golang.org/protobuf/proto"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Split cuts a checkpoint into parts of about maxBytes each, so that each fits
// into one record. A small checkpoint comes back whole.
func Split(c *cowsliptallyv1.Checkpoint, maxBytes int) []*cowsliptallyv1.Checkpoint {
	if proto.Size(c) <= maxBytes {
		return []*cowsliptallyv1.Checkpoint{c}
	}
	s := &splitter{whole: c, maxBytes: maxBytes}
	s.begin()
	from := c.GetConfiguration()
	cut(s, from.GetServices(), func(m *cowsliptallyv1.Service) { s.configuration().Services = append(s.configuration().Services, m) })
	cut(s, from.GetRoutes(), func(m *cowsliptallyv1.Route) { s.configuration().Routes = append(s.configuration().Routes, m) })
	cut(s, from.GetLimits(), func(m *cowsliptallyv1.Limit) { s.configuration().Limits = append(s.configuration().Limits, m) })
	cut(s, from.GetOverrides(), func(m *cowsliptallyv1.Override) { s.configuration().Overrides = append(s.configuration().Overrides, m) })
	cut(s, c.GetBackends(), func(m *cowsliptallyv1.BackendServer) { s.part.Backends = append(s.part.Backends, m) })
	cut(s, c.GetEjected(), func(m *cowsliptallyv1.Ejected) { s.part.Ejected = append(s.part.Ejected, m) })
	cut(s, c.GetVerdicts(), func(m *cowsliptallyv1.Verdict) { s.part.Verdicts = append(s.part.Verdicts, m) })
	cut(s, c.GetHistory(), func(m *cowsliptallyv1.Revision) { s.part.History = append(s.part.History, m) })
	for _, part := range s.parts {
		part.Parts = uint32(len(s.parts))
	}
	return s.parts
}

// splitter fills one part after another.
type splitter struct {
	whole    *cowsliptallyv1.Checkpoint
	maxBytes int
	parts    []*cowsliptallyv1.Checkpoint
	part     *cowsliptallyv1.Checkpoint
	bytes    int
}

func (s *splitter) begin() {
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

func cut[M proto.Message](s *splitter, entries []M, add func(M)) {
	// fieldBytes is what a field's tag and length take at most.
	const fieldBytes = 6
	for _, entry := range entries {
		size := proto.Size(entry) + fieldBytes
		if s.bytes > 0 && s.bytes+size > s.maxBytes {
			s.begin()
		}
		add(entry)
		s.bytes += size
	}
}
