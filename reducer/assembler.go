package reducer

import cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"

// Assembler reassembles a checkpoint from its parts.
type Assembler struct {
	parts []*cowsliptallyv1.Checkpoint
}

// Add adds a checkpoint or a part of one; with the last part it returns the
// whole checkpoint. Parts are expected in order; a part out of order discards
// those added before.
func (a *Assembler) Add(c *cowsliptallyv1.Checkpoint) (*cowsliptallyv1.Checkpoint, bool) {
	if c.GetParts() <= 1 {
		return c, true
	}
	if c.GetPart() == 1 {
		a.parts = nil
	}
	if !a.follows(c) {
		a.parts = nil
		return nil, false
	}
	a.parts = append(a.parts, c)
	if uint32(len(a.parts)) < c.GetParts() {
		return nil, false
	}
	whole := mergeParts(a.parts)
	a.parts = nil
	return whole, true
}

func (a *Assembler) follows(c *cowsliptallyv1.Checkpoint) bool {
	if c.GetPart() != uint32(len(a.parts)+1) {
		return false
	}
	if len(a.parts) == 0 {
		return true
	}
	first := a.parts[0]
	return first.GetParts() == c.GetParts() && first.GetNextOffset() == c.GetNextOffset()
}

func mergeParts(parts []*cowsliptallyv1.Checkpoint) *cowsliptallyv1.Checkpoint {
	whole := &cowsliptallyv1.Checkpoint{
		NextOffset:    parts[0].GetNextOffset(),
		Checkpointed:  parts[0].GetCheckpointed(),
		Configuration: &cowsliptallyv1.Configuration{Revision: parts[0].GetConfiguration().GetRevision()},
	}
	for _, part := range parts {
		from := part.GetConfiguration()
		to := whole.Configuration
		to.Services = append(to.Services, from.GetServices()...)
		to.Routes = append(to.Routes, from.GetRoutes()...)
		to.Limits = append(to.Limits, from.GetLimits()...)
		to.Overrides = append(to.Overrides, from.GetOverrides()...)
		whole.Backends = append(whole.Backends, part.GetBackends()...)
		whole.Ejected = append(whole.Ejected, part.GetEjected()...)
		whole.Verdicts = append(whole.Verdicts, part.GetVerdicts()...)
		whole.History = append(whole.History, part.GetHistory()...)
	}
	return whole
}
