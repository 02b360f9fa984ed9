package command

import (
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Limit changes and lists the limits of organisations.
type Limit struct {
	Put    LimitPut    `cmd:"" help:"Set the limit of an organisation."`
	Delete LimitDelete `cmd:"" help:"Remove the limit of an organisation."`
	List   LimitList   `cmd:"" help:"List limits."`
}

// LimitPut sets the limit of an organisation.
type LimitPut struct {
	Proposal
	Organisation string  `arg:"" help:"Name of the organisation."`
	Rate         float64 `required:"" help:"Requests per second."`
	Burst        uint32  `default:"1" help:"Largest number of requests that are admitted at once."`
}

// Run proposes the limit.
func (l *LimitPut) Run(c *Context) error {
	limit := &cowsliptallyv1.Limit{Organisation: l.Organisation, RequestsPerSecond: l.Rate, Burst: l.Burst}
	return l.change(c, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutLimit{PutLimit: limit}})
}

// LimitDelete removes the limit of an organisation.
type LimitDelete struct {
	Proposal
	Organisation string `arg:"" help:"Name of the organisation."`
}

// Run proposes the removal.
func (l *LimitDelete) Run(c *Context) error {
	return l.change(c, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteLimit{DeleteLimit: l.Organisation}})
}

// LimitList lists limits.
type LimitList struct{}

// Run prints one line for each limit.
func (l *LimitList) Run(c *Context) error {
	current, err := c.configuration()
	if err != nil {
		return err
	}
	for _, limit := range current.GetLimits() {
		c.printf("organisation=%s requestspersecond=%v burst=%d\n",
			limit.GetOrganisation(), limit.GetRequestsPerSecond(), limit.GetBurst())
	}
	return nil
}
