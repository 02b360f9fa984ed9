package evaluator

import (
	"cowsliptally.example/cowsliptally/detector"
	"cowsliptally.example/cowsliptally/fleet"
)

// Evidence is the node's evidence against one backend server.
type Evidence struct {
	Backend fleet.BackendID
	Service fleet.ServiceName
	// LLR is the greatest log-likelihood ratio since the backend server was last
	// healthy, in nats.
	LLR float64
	// Holds counts how often it was degraded since it was last healthy.
	Holds int
	// Cause is the test that gave the most evidence.
	Cause detector.Cause
	// Kind is the request kind that gave the most evidence; empty for all kinds together.
	Kind fleet.RequestKind
	// Failures is the number of failed answers within the evidence.
	Failures int
	// Threshold is the threshold of the service's health rule.
	Threshold detector.Threshold
}

// Figures returns the evidence as numbers for events and records.
func (e Evidence) Figures() []fleet.Figure {
	return []fleet.Figure{
		{Name: "evidence", Value: e.LLR, Unit: "nats"},
		{Name: "degrade", Value: e.Threshold.Degrade, Unit: "nats"},
		{Name: "eject", Value: e.Threshold.Eject, Unit: "nats"},
		{Name: "failures", Value: float64(e.Failures)},
		{Name: "holds", Value: float64(e.Holds)},
	}
}
