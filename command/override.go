package command

import (
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Override changes and lists overrides, which keep single backend servers in or
// out of rotation.
type Override struct {
	Put    OverridePut    `cmd:"" help:"Keep a backend server in or out of rotation."`
	Delete OverrideDelete `cmd:"" help:"Remove the override of a backend server; the fleet's health evaluation applies again."`
	List   OverrideList   `cmd:"" help:"List overrides."`
}

// OverridePut keeps a backend server in or out of rotation.
type OverridePut struct {
	Proposal
	Backend  string `arg:"" help:"Identifier of the backend server."`
	Decision string `arg:"" enum:"in,out" help:"in: keep it in rotation; out: keep it out of rotation."`
	Why      string `help:"Reason for the override, recorded with it for later readers."`
}

// Run proposes the override.
func (o *OverridePut) Run(c *Context) error {
	override := &cowsliptallyv1.Override{Backend: o.Backend, Decision: o.Decision, Why: o.Why}
	return o.change(c, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutOverride{PutOverride: override}})
}

// OverrideDelete removes an override.
type OverrideDelete struct {
	Proposal
	Backend string `arg:"" help:"Identifier of the backend server."`
}

// Run proposes the removal.
func (o *OverrideDelete) Run(c *Context) error {
	return o.change(c, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteOverride{DeleteOverride: o.Backend}})
}

// OverrideList lists overrides.
type OverrideList struct{}

// Run prints one line for each override.
func (o *OverrideList) Run(c *Context) error {
	current, err := c.configuration()
	if err != nil {
		return err
	}
	for _, override := range current.GetOverrides() {
		c.printf("backend=%s decision=%s why=%q\n", override.GetBackend(), override.GetDecision(), override.GetWhy())
	}
	return nil
}
