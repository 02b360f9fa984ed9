package command

import (
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Service changes and lists services.
type Service struct {
	Put    ServicePut    `cmd:"" help:"Add or replace a service."`
	Delete ServiceDelete `cmd:"" help:"Delete a service."`
	List   ServiceList   `cmd:"" help:"List services."`
}

// ServicePut adds or replaces a service.
type ServicePut struct {
	Proposal
	Name               string  `arg:"" help:"Name of the service."`
	MinHealthySlots    uint32  `help:"Healthy capacity, in slots, below which no backend server is ejected."`
	Lean               string  `enum:"detect,steady," default:"steady" help:"detect: short detection time; steady: few false ejections."`
	FalseEjectionHours float64 `help:"Target hours between false ejections of one backend server; 0 uses the default for the chosen --lean."`
	SlowFactor         float64 `help:"Ratio to the usual service time from which a backend server counts as slow; 0 uses 3."`
	ErrorRate          float64 `help:"Share of failed attempts from which a backend server counts as unhealthy; 0 uses 0.05."`
}

// Run proposes the service.
func (s *ServicePut) Run(c *Context) error {
	rule := &cowsliptallyv1.TrustRule{
		Lean:               s.Lean,
		FalseEjectionHours: s.FalseEjectionHours,
		SlowFactor:         s.SlowFactor,
		ErrorRate:          s.ErrorRate,
	}
	service := &cowsliptallyv1.Service{Name: s.Name, MinHealthySlots: s.MinHealthySlots, Rule: rule}
	return s.change(c, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutService{PutService: service}})
}

// ServiceDelete deletes a service.
type ServiceDelete struct {
	Proposal
	Name string `arg:"" help:"Name of the service."`
}

// Run proposes the deletion.
func (s *ServiceDelete) Run(c *Context) error {
	return s.change(c, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteService{DeleteService: s.Name}})
}

// ServiceList lists services.
type ServiceList struct{}

// Run prints one line for each service.
func (s *ServiceList) Run(c *Context) error {
	current, err := c.configuration()
	if err != nil {
		return err
	}
	for _, service := range current.GetServices() {
		rule := service.GetRule()
		c.printf("service=%s minhealthyslots=%d lean=%s falseejectionhours=%v slowfactor=%v errorrate=%v\n",
			service.GetName(), service.GetMinHealthySlots(), rule.GetLean(),
			rule.GetFalseEjectionHours(), rule.GetSlowFactor(), rule.GetErrorRate())
	}
	return nil
}
