package forwarder

import (
	"cowsliptally.example/cowsliptally/fleet"
)

// recordAbandoned records that this node waits no more for an attempt that may have run, unless its caller
// left: for what reason, at which backend server, and how long both nodes had been stopping.
func (f *Forwarder) recordAbandoned(s *submission, backend fleet.Backend, number int, r *result) {
	if r.outcome.Executed != fleet.ExecutedUnknown || r.outcome.Reason == fleet.ReasonCancelled {
		return
	}
	now := f.clock.Now()
	figures := []fleet.Figure{
		{Name: "attempt", Value: float64(number)},
		fleet.Milliseconds("took", r.took),
		fleet.Milliseconds("left", s.deadline.Sub(now)),
	}
	stopping := f.stopping.Load()
	if stopping != nil {
		figures = append(figures, fleet.Milliseconds("stopping", now.Sub(stopping.since)))
	}
	if r.ownerStopping > 0 {
		figures = append(figures, fleet.Milliseconds("owner", r.ownerStopping))
	}
	detail := s.at(backend)
	switch {
	case stopping != nil && r.outcome.Reason == fleet.ReasonDeadline && now.Before(s.deadline):
		detail += ", aborted by the stop of this node"
	case r.successor != nil:
		detail += ", next at " + string(r.successor.backend.ID)
	case !s.idempotent:
		detail += ", must run once"
	}
	f.recorder.Record(fleet.NewEvent(fleet.EventAbandoned, string(s.id), string(r.outcome.Reason), figures...).
		WithService(s.service).WithDetail(detail + ": " + r.message))
}

// at tells the kind of a submission and where an attempt of it runs, for logs.
func (s *submission) at(backend fleet.Backend) string {
	return string(s.kind) + " at " + string(backend.ID) + " of " + string(backend.Owner)
}
