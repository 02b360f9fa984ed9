package fleet

// Service is a group of interchangeable backend servers.
type Service struct {
	Name ServiceName
	// MinHealthySlots is the healthy capacity below which no ejection is accepted.
	MinHealthySlots int
	Rule            Rule
}

// WithRule returns a copy with another health rule.
func (s Service) WithRule(rule Rule) Service {
	s.Rule = rule
	return s
}

// WithMinHealthySlots returns a copy with another floor, in slots.
func (s Service) WithMinHealthySlots(slots int) Service {
	s.MinHealthySlots = slots
	return s
}

// Key returns the name under which a configuration holds the service.
func (s Service) Key() ServiceName { return s.Name }
