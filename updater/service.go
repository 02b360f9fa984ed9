package updater

import (
	"fmt"
	"math"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// maxFloor is the largest minimum healthy capacity, in slots.
	maxFloor = 10_000_000
	// maxSlowFactor is the largest ratio to the usual service time from which a backend
	// server counts as slow.
	maxSlowFactor = 1000
	// maxFalseEjectionHours is the longest target for the mean time between false ejections.
	maxFalseEjectionHours = 1e9
)

func (u *Updater) putService(c fleet.Configuration, s fleet.Service) (fleet.Configuration, string, error) {
	const operation = "put service"
	if err := checkName(operation, "service", string(s.Name)); err != nil {
		return c, "", err
	}
	if s.MinHealthySlots > maxFloor {
		return c, "", refuse(operation, KindValue, "service %q: %d minimum healthy slots are more than %d", s.Name, s.MinHealthySlots, maxFloor)
	}
	if err := checkRule(operation, s); err != nil {
		return c, "", err
	}
	before, existed := c.Service(s.Name)
	slots := u.backends.Slots(s.Name)
	raised := s.MinHealthySlots > before.MinHealthySlots
	if raised && slots > 0 && s.MinHealthySlots > slots {
		return c, "", refuse(operation, KindFloor, "service %q: %d minimum healthy slots are more than the %d slots of its backend servers", s.Name, s.MinHealthySlots, slots)
	}
	verb := "add"
	if existed {
		verb = "change"
	}
	return c.WithService(s), fmt.Sprintf("%s service %q", verb, s.Name), nil
}

func checkRule(operation string, s fleet.Service) error {
	rule := s.Rule
	if rule.Lean != "" && rule.Lean != fleet.LeanDetect && rule.Lean != fleet.LeanSteady {
		return refuse(operation, KindValue, "service %q: lean %q is neither %q nor %q", s.Name, rule.Lean, fleet.LeanDetect, fleet.LeanSteady)
	}
	if !within(rule.FalseEjectionHours, 0, maxFalseEjectionHours) {
		return refuse(operation, KindValue, "service %q: false ejection hours %v are not between 0 and %v", s.Name, rule.FalseEjectionHours, maxFalseEjectionHours)
	}
	if rule.SlowFactor != 0 && (rule.SlowFactor <= 1 || !within(rule.SlowFactor, 1, maxSlowFactor)) {
		return refuse(operation, KindValue, "service %q: slow factor %v is not above 1 and at most %v", s.Name, rule.SlowFactor, maxSlowFactor)
	}
	if !within(rule.ErrorRate, 0, 1) {
		return refuse(operation, KindValue, "service %q: error rate %v is not between 0 and 1", s.Name, rule.ErrorRate)
	}
	return nil
}

func deleteService(c fleet.Configuration, name fleet.ServiceName) (fleet.Configuration, string, error) {
	if _, found := c.Service(name); !found {
		return c, "", refuse("delete service", KindUnknown, "service %q does not exist", name)
	}
	return c.WithoutService(name), fmt.Sprintf("delete service %q", name), nil
}

// within reports whether value is a number from low to high.
func within(value, low, high float64) bool {
	return !math.IsNaN(value) && value >= low && value <= high
}
