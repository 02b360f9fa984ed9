package model

import (
	"fmt"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Settings describe one run.
type Settings struct {
	Scenario string
	Policy   string
	Seed     uint64
	// Backends is the number of backend servers.
	Backends int
	// Rate is the number of requests per second to each backend server.
	Rate float64
	// Slow is the factor on service times in scenarios with slow backend servers.
	Slow float64
	// Errors is the share of failed requests in scenarios with errors.
	Errors float64
	// Hours is the virtual length of the run.
	Hours float64
	// Nodes is the number of ingress nodes; 0 takes the scenario's own.
	Nodes int
	// Sigma is the standard deviation of the logarithm of service times.
	Sigma float64
	// BaseErrors is the share of failed requests of healthy backend servers.
	BaseErrors float64
	// Slots is the number of requests that a backend server runs at a time.
	Slots int
	// Floor is the minimum share of the slots that stays in rotation.
	Floor float64
	// FalseEjectionHours is the value in the service's rule; 0 takes the lean's
	// default.
	FalseEjectionHours float64
}

const (
	minBackends = 2
	maxBackends = 1_000
	maxRate     = 10_000.0
	maxNodes    = 50
	maxSlow     = 1_000.0
	maxSigma    = 3.0
	maxHours    = 1_000_000.0
)

// check returns an error that names the first invalid setting.
func (s Settings) check() error {
	if _, found := scenarios[s.Scenario]; !found {
		return newError("check", KindSettings, "scenario %q does not exist; --list prints all", s.Scenario)
	}
	if _, found := policies[s.Policy]; !found {
		return newError("check", KindSettings, "policy %q does not exist; --list prints all", s.Policy)
	}
	bounds := []struct {
		flag             string
		value, low, high float64
	}{
		{"--backends", float64(s.Backends), minBackends, maxBackends},
		{"--rate", s.Rate, 0.01, maxRate},
		{"--slow", s.Slow, 1, maxSlow},
		{"--errors", s.Errors, 0, 1},
		{"--hours", s.Hours, 0.001, maxHours},
		{"--nodes", float64(s.Nodes), 0, maxNodes},
		{"--sigma", s.Sigma, 0.01, maxSigma},
		{"--base-errors", s.BaseErrors, 0, 0.5},
		{"--slots", float64(s.Slots), 1, 1_000},
		{"--floor", s.Floor, 0, 1},
		{"--false-ejection-hours", s.FalseEjectionHours, 0, 1e9},
	}
	for _, b := range bounds {
		if !(b.value >= b.low && b.value <= b.high) {
			return newError("check", KindSettings, "%s is %v, expected %v to %v", b.flag, b.value, b.low, b.high)
		}
	}
	return nil
}

// length returns the virtual length of the run.
func (s Settings) length() time.Duration {
	return time.Duration(s.Hours * float64(time.Hour))
}

// service returns the modelled service's configuration.
func (s Settings) service() fleet.Service {
	rule := policies[s.Policy].rule
	rule.FalseEjectionHours = s.FalseEjectionHours
	return fleet.Service{
		Name:            serviceName,
		MinHealthySlots: int(float64(s.Backends*s.Slots) * s.Floor),
		Rule:            rule.WithDefaults(),
	}
}

const serviceName fleet.ServiceName = "modelled"

func backendName(number int) fleet.BackendID {
	return fleet.BackendID(fmt.Sprintf("backend-%d", number))
}
