package judge

import (
	"cowsliptally.example/cowsliptally/detector"
	"cowsliptally.example/cowsliptally/fleet"
)

// Evidence is what the node holds against one backend server.
type Evidence struct {
	Backend fleet.BackendID
	Service fleet.ServiceName
	// Nats is the greatest evidence since the backend server was last trusted.
	Nats float64
	// Holds counts how often it was degraded since it was last trusted.
	Holds int
	// Cause is the test that gave most of it.
	Cause detector.Cause
	// Kind is the request kind that gave most of it; empty for all kinds together.
	Kind fleet.RequestKind
	// Failures is the number of failed answers within the evidence.
	Failures int
	// Threshold is what the trust rule asks for.
	Threshold detector.Threshold
}

// Figures returns the evidence as numbers for events and records.
func (e Evidence) Figures() []fleet.Figure {
	return []fleet.Figure{
		{Name: "evidence", Value: e.Nats, Unit: "nats"},
		{Name: "degrade", Value: e.Threshold.Degrade, Unit: "nats"},
		{Name: "eject", Value: e.Threshold.Eject, Unit: "nats"},
		{Name: "failures", Value: float64(e.Failures)},
		{Name: "holds", Value: float64(e.Holds)},
	}
}
