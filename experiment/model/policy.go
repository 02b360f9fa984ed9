package model

import (
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/balancer"
	"cowsliptally.example/cowsliptally/experiment/baseline"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/judge"
)

// policy decides which backend servers an ingress node trusts. The judge is one.
type policy interface {
	balancer.Verdicts
	Observe(fleet.Sample)
	Pending(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) judge.Attempt
	Done(judge.Attempt)
	Tick(time.Time) []fleet.Event
}

// policyEntry is one policy by name.
type policyEntry struct {
	about string
	rule  fleet.Rule
	// baseline makes a policy that is not ours; nil for ours.
	baseline func(*clock) policy
}

var policies = map[string]policyEntry{
	"detect": {about: "ours, leans to detection time", rule: fleet.Rule{Lean: fleet.LeanDetect}},
	"steady": {about: "ours, leans to few false ejections", rule: fleet.Rule{Lean: fleet.LeanSteady}},
	"consecutive": {
		about:    "baseline: 5 failures in a row",
		baseline: func(c *clock) policy { return baseline.NewConsecutive(c) },
	},
	"deviation": {
		about:    "baseline: success rate in a window against mean and standard deviation",
		baseline: func(c *clock) policy { return baseline.NewDeviation(c) },
	},
	"average": {
		about:    "baseline: moving averages of time and errors against the service's",
		baseline: func(c *clock) policy { return baseline.NewAverage(c) },
	},
}

// Policies returns the names of all policies with a description each, sorted.
func Policies() []Named {
	var list []Named
	for name, p := range policies {
		list = append(list, Named{Name: name, About: p.about})
	}
	slices.SortFunc(list, compareNamed)
	return list
}
