package model

import (
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/balancer"
	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/experiment/baseline"
	"cowsliptally.example/cowsliptally/fleet"
)

// policy evaluates the health of backend servers for an ingress node. The evaluator
// of the node implements it.
type policy interface {
	balancer.HealthSource
	Observe(fleet.Sample)
	StartAttempt(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) evaluator.Attempt
	EndAttempt(evaluator.Attempt)
	Tick(time.Time) []fleet.Event
}

// policyEntry describes one policy: the service rule of the evaluator, or a baseline.
type policyEntry struct {
	summary string
	rule    fleet.Rule
	// baseline returns a baseline policy; nil for the evaluator.
	baseline func(*clock) policy
}

var policies = map[string]policyEntry{
	"detect": {summary: "ours, leans to detection time", rule: fleet.Rule{Lean: fleet.LeanDetect}},
	"steady": {summary: "ours, leans to few false ejections", rule: fleet.Rule{Lean: fleet.LeanSteady}},
	"consecutive": {
		summary:  "baseline: 5 failures in a row",
		baseline: func(c *clock) policy { return baseline.NewConsecutive(c) },
	},
	"deviation": {
		summary:  "baseline: success rate in a window against mean and standard deviation",
		baseline: func(c *clock) policy { return baseline.NewDeviation(c) },
	},
	"average": {
		summary:  "baseline: moving averages of time and errors against the service's",
		baseline: func(c *clock) policy { return baseline.NewAverage(c) },
	},
}

// Policies returns the descriptions of all policies, sorted by name.
func Policies() []Description {
	var list []Description
	for name, p := range policies {
		list = append(list, Description{Name: name, Summary: p.summary})
	}
	slices.SortFunc(list, compareDescriptions)
	return list
}
