package translator

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// ServiceToMessage converts a service.
func ServiceToMessage(s fleet.Service) *cowsliptallyv1.Service {
	return &cowsliptallyv1.Service{
		Name:            string(s.Name),
		MinHealthySlots: uint32(s.MinHealthySlots),
		Rule: &cowsliptallyv1.TrustRule{
			Lean:               string(s.Rule.Lean),
			FalseEjectionHours: s.Rule.FalseEjectionHours,
			SlowFactor:         s.Rule.SlowFactor,
			ErrorRate:          s.Rule.ErrorRate,
		},
	}
}

// ServiceFromMessage converts a service message.
func ServiceFromMessage(m *cowsliptallyv1.Service) fleet.Service {
	return fleet.Service{
		Name:            fleet.ServiceName(m.GetName()),
		MinHealthySlots: int(m.GetMinHealthySlots()),
		Rule: fleet.Rule{
			Lean:               fleet.Lean(m.GetRule().GetLean()),
			FalseEjectionHours: m.GetRule().GetFalseEjectionHours(),
			SlowFactor:         m.GetRule().GetSlowFactor(),
			ErrorRate:          m.GetRule().GetErrorRate(),
		},
	}
}

// RouteToMessage converts a route.
func RouteToMessage(r fleet.Route) *cowsliptallyv1.Route {
	message := &cowsliptallyv1.Route{
		Name:         r.Name,
		Service:      string(r.Service),
		Host:         r.Host,
		Method:       r.Method,
		PathPrefix:   r.PathPrefix,
		Kind:         string(r.Kind),
		Weight:       uint32(r.Weight),
		Idempotent:   r.Idempotent,
		TimeoutMs:    uint32(r.Timeout.Milliseconds()),
		MaxTimeoutMs: uint32(r.MaxTimeout.Milliseconds()),
		TargetMs:     uint32(r.Target.Milliseconds()),
		MaxAttempts:  uint32(r.MaxAttempts),
	}
	for _, share := range r.Split.Shares() {
		message.Split = append(message.Split, &cowsliptallyv1.Share{
			Service: string(share.Service), Weight: uint32(share.Weight),
		})
	}
	return message
}

// RouteFromMessage converts a route message.
func RouteFromMessage(m *cowsliptallyv1.Route) fleet.Route {
	route := fleet.Route{
		Name:        m.GetName(),
		Service:     fleet.ServiceName(m.GetService()),
		Host:        m.GetHost(),
		Method:      m.GetMethod(),
		PathPrefix:  m.GetPathPrefix(),
		Kind:        fleet.RequestKind(m.GetKind()),
		Weight:      int(m.GetWeight()),
		Idempotent:  m.GetIdempotent(),
		Timeout:     time.Duration(m.GetTimeoutMs()) * time.Millisecond,
		MaxTimeout:  time.Duration(m.GetMaxTimeoutMs()) * time.Millisecond,
		Target:      time.Duration(m.GetTargetMs()) * time.Millisecond,
		MaxAttempts: int(m.GetMaxAttempts()),
	}
	var shares []fleet.Share
	for _, share := range m.GetSplit() {
		shares = append(shares, fleet.Share{
			Service: fleet.ServiceName(share.GetService()), Weight: int(share.GetWeight()),
		})
	}
	route.Split = fleet.NewSplit(shares...)
	return route
}

// LimitToMessage converts a limit.
func LimitToMessage(l fleet.Limit) *cowsliptallyv1.Limit {
	return &cowsliptallyv1.Limit{
		Organisation:      string(l.Organisation),
		RequestsPerSecond: l.RequestsPerSecond,
		Burst:             uint32(l.Burst),
	}
}

// LimitFromMessage converts a limit message.
func LimitFromMessage(m *cowsliptallyv1.Limit) fleet.Limit {
	return fleet.Limit{
		Organisation:      fleet.Organisation(m.GetOrganisation()),
		RequestsPerSecond: m.GetRequestsPerSecond(),
		Burst:             int(m.GetBurst()),
	}
}

// OverrideToMessage converts an override.
func OverrideToMessage(o fleet.Override) *cowsliptallyv1.Override {
	return &cowsliptallyv1.Override{
		Backend:  string(o.Backend),
		Decision: string(o.Decision),
		Why:      o.Why,
	}
}

// OverrideFromMessage converts an override message.
func OverrideFromMessage(m *cowsliptallyv1.Override) fleet.Override {
	return fleet.Override{
		Backend:  fleet.BackendID(m.GetBackend()),
		Decision: fleet.Decision(m.GetDecision()),
		Why:      m.GetWhy(),
	}
}

// ConfigurationToMessage converts a configuration.
func ConfigurationToMessage(c fleet.Configuration) *cowsliptallyv1.Configuration {
	message := &cowsliptallyv1.Configuration{Revision: uint64(c.Revision())}
	for _, service := range c.Services() {
		message.Services = append(message.Services, ServiceToMessage(service))
	}
	for _, route := range c.Routes() {
		message.Routes = append(message.Routes, RouteToMessage(route))
	}
	for _, limit := range c.Limits() {
		message.Limits = append(message.Limits, LimitToMessage(limit))
	}
	for _, override := range c.Overrides() {
		message.Overrides = append(message.Overrides, OverrideToMessage(override))
	}
	return message
}
